/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against requests that are processed without a response, and against connections that never end. */

import { ResponseSequence, type SequencedRequest, type ServerPhase } from '@gentiandrum/core';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

interface FakeRequest extends SequencedRequest {
  id: number;
  ready: boolean;
  started: boolean;
}

type Step =
  | { kind: 'receive' }
  | { kind: 'start' }
  | { kind: 'respond'; which: number }
  | { kind: 'drain' }
  | { kind: 'end_connections' }
  | { kind: 'choose_last' };

const kRuns = 2_000;
const kSeed = 1;

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Step>({ kind: 'receive' }) },
  { weight: 5, arbitrary: fc.constant<Step>({ kind: 'start' }) },
  { weight: 5, arbitrary: fc.nat(7).map((which): Step => ({ kind: 'respond', which })) },
  { weight: 1, arbitrary: fc.constantFrom<Step>({ kind: 'drain' }, { kind: 'end_connections' }, { kind: 'choose_last' }) },
);

/** Plays a history of one connection as the server of callers does. */
class Connection {
  readonly processed: number[] = [];
  readonly written: { id: number; last: boolean }[] = [];
  readonly sequence = new ResponseSequence<FakeRequest>();
  phase: ServerPhase = 'serving';
  private _received = 0;

  play(step: Step): void {
    switch (step.kind) {
      case 'receive':
        this.sequence.add({ id: this._received++, ready: false, started: false }, this.phase);
        return;
      case 'start':
        this._start();
        return;
      case 'respond':
        this._respond(step.which);
        return;
      case 'drain':
        this.phase = this.phase === 'serving' ? 'draining' : this.phase;
        return;
      case 'end_connections':
        this.phase = 'ending';
        this.chooseLast();
        return;
      case 'choose_last':
        this.chooseLast();
        return;
    }
  }

  chooseLast(): void {
    const waiting = this.sequence.pending.find(({ started }) => !started);
    if (waiting) {
      this.sequence.dropFrom(waiting);
    } else {
      this.sequence.chooseLast();
    }
  }

  respondToAll(): void {
    while (this.sequence.pending.length > 0) {
      this._start();
      this._respond(0);
    }
  }

  private _start(): void {
    const req = this.sequence.pending.find(({ started }) => !started);
    if (req) {
      req.started = true;
      this.processed.push(req.id);
    }
  }

  private _respond(which: number): void {
    const open = this.sequence.pending.filter(({ started, ready }) => started && !ready);
    const req = open[which % Math.max(1, open.length)];
    if (req) {
      req.ready = true;
      for (const { req: writable, last } of this.sequence.takeReady(this.phase)) {
        this.written.push({ id: writable.id, last });
      }
    }
  }
}

describe('the responses of a connection', () => {
  it('should be written in order for exactly the requests that were processed, in any history', (t) => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const connection = new Connection();
        steps.forEach((step) => {
          connection.play(step);
        });
        connection.respondToAll();
        t.deepEqual(
          connection.written.map(({ id }) => id),
          connection.processed,
        );
      }),
      { numRuns: kRuns, seed: kSeed },
    );
    t.pass();
  });

  it('should include none behind the one that closes the connection, in any history', (t) => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const { written, sequence } = steps.reduce((connection, step) => {
          connection.play(step);
          return connection;
        }, new Connection());
        const last = written.findIndex((response) => response.last);
        t.true(last < 0 || last === written.length - 1);
        t.true(last < 0 || (sequence.ended && sequence.pending.length === 0));
      }),
      { numRuns: kRuns, seed: kSeed },
    );
    t.pass();
  });

  it('should end the connection although requests keep arriving, once the newest one is its last', (t) => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
        const connection = new Connection();
        steps.forEach((step) => {
          connection.play(step);
        });
        connection.play({ kind: 'end_connections' });
        const pending = connection.sequence.pending.length;
        for (let i = 0; i <= pending; i++) {
          connection.play({ kind: 'receive' });
          connection.play({ kind: 'start' });
          connection.play({ kind: 'respond', which: 0 });
        }
        t.true(connection.sequence.ended);
      }),
      { numRuns: kRuns, seed: kSeed },
    );
    t.pass();
  });
});
