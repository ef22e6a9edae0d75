/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Event queue of one call on virtual time. */

import type { CallEvent, Reply } from '@gentiandrum/core';
import type { VirtualTime } from '../support/virtualTime.js';

/** Resumes a procedure with a reply. */
export type Resume = (reply: Reply) => void;

/** Queues events of one call until its procedure awaits them. */
export class EventQueue {
  private readonly _events: CallEvent[] = [];
  private _resume: Resume | undefined;
  private _round = 0;

  constructor(private readonly _time: VirtualTime) {}

  push(event: CallEvent): void {
    const resume = this._resume;
    this._resume = undefined;
    if (resume) {
      resume(event);
    } else {
      this._events.push(event);
    }
  }

  await(until: number, resume: Resume): void {
    const event = this._events.shift();
    if (event) {
      resume(event);
      return;
    }
    const round = ++this._round;
    this._resume = resume;
    this._time.after(until - this._time.now, () => {
      if (round === this._round && this._resume) {
        this._resume = undefined;
        resume({ kind: 'timeout' });
      }
    });
  }
}
