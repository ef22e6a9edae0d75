/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for a target that crashes on some requests and restarts on the same port. */

import { type SeenRequest, UpstreamStandin } from './upstreamStandin.js';

/** Time between a crash and the restart, in milliseconds. */
const kRestartDelayMs = 1_500;
/** Time for which a request runs before it crashes the target, in milliseconds. */
const kCrashDelayMs = 30;

/** Runs successive incarnations of a target on one port. */
export class CrashingTarget {
  /** Address at which the daemon of the host accepts announcements. */
  control = '';
  current: UpstreamStandin;
  crashes = 0;
  private _starts = 1;
  private _closed = false;
  private _restartTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _name: string,
    private readonly _service: string,
    private readonly _crashesTarget: (req: SeenRequest) => boolean,
  ) {
    this.current = this._create();
  }

  /** Listens on the loopback interface. */
  async start(): Promise<void> {
    await this.current.start();
  }

  /** Closes all connections as a crash does, and schedules the restart. */
  crash(): void {
    if (this._restartTimer || this._closed) {
      return;
    }
    this.crashes++;
    this.current.close();
    this._restartTimer = setTimeout(() => {
      this._restartTimer = undefined;
      void this._restart();
    }, kRestartDelayMs);
  }

  /** Stops without a restart. */
  close(): void {
    this._closed = true;
    clearTimeout(this._restartTimer);
    this.current.close();
  }

  private async _restart(): Promise<void> {
    const [, port = '0'] = this.current.address.split(':');
    this._starts++;
    this.current = this._create();
    this.current.port = Number(port);
    await this.current.start();
    if (this._closed) {
      this.current.close();
      return;
    }
    await this.current.sendHeartbeat(this.control);
  }

  private _create(): UpstreamStandin {
    const target = new UpstreamStandin(`${this._name}-${this._starts}`, this._service);
    target.onRun = (req) => {
      if (this._crashesTarget(req)) {
        setTimeout(() => {
          if (this.current === target) {
            this.crash();
          }
        }, kCrashDelayMs);
        // The request never completes.
        return new Promise(() => undefined);
      }
      return undefined;
    };
    return target;
  }
}
