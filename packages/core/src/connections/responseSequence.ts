/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Order of the responses on a connection whose requests may be pipelined, and the choice of its last request.
 *
 * A response with `Connection: close` says that no request behind it was processed (RFC 9112, 9.6). The last request is therefore
 * chosen when its response is written, at a time at which no other request stands behind it; or earlier, so that a connection on which
 * requests keep arriving ends too. No request is accepted behind the last one.
 */

/**
 * What a server does with its connections: keeps them open; closes each one with a response behind which no request stands; or closes
 * each one with the response to its newest request.
 */
export type ServerPhase = 'serving' | 'draining' | 'ending';

/** A request of a connection. */
export interface SequencedRequest {
  /** Whether its response is complete. */
  readonly ready: boolean;
}

/** A response that can be written. */
export interface WritableResponse<T> {
  req: T;
  /** Whether the connection closes after it. */
  last: boolean;
}

type SequenceState = 'open' | 'last_chosen' | 'ended';

/** Requests of one connection whose responses have not been written. */
export class ResponseSequence<T extends SequencedRequest> {
  private readonly _pending: T[] = [];
  private _state: SequenceState = 'open';

  /** Requests without a written response, the oldest first. */
  get pending(): readonly T[] {
    return this._pending;
  }

  /** Whether further requests are accepted. */
  get accepting(): boolean {
    return this._state === 'open';
  }

  /** Whether the last response was written; the connection is to be closed. */
  get ended(): boolean {
    return this._state === 'ended';
  }

  /** Adds a request whose head was read; returns false if it stands behind the last one, and must not be processed. */
  add(req: T, phase: ServerPhase): boolean {
    if (!this.accepting) {
      return false;
    }
    this._pending.push(req);
    if (phase === 'ending') {
      this.chooseLast();
    }
    return true;
  }

  /** Makes the newest pending request the last one; an idle connection stays open. */
  chooseLast(): void {
    if (this.accepting && this._pending.length > 0) {
      this._state = 'last_chosen';
    }
  }

  /** Removes and returns a request and those behind it, none of which was processed; the one before it becomes the last one. */
  dropFrom(req: T): T[] {
    const index = this._pending.indexOf(req);
    const dropped = index < 0 ? [] : this._pending.splice(index);
    this._state = this._pending.length > 0 ? 'last_chosen' : 'ended';
    return dropped;
  }

  /** Ends the sequence of an idle connection. */
  end(): void {
    this._state = 'ended';
  }

  /** Removes and returns the responses that can be written, in the order of their requests. */
  *takeReady(phase: ServerPhase): Generator<WritableResponse<T>, void, undefined> {
    for (let req = this._pending[0]; req?.ready; req = this._pending[0]) {
      this._pending.shift();
      const last = this._pending.length === 0 && (this._state === 'last_chosen' || phase !== 'serving');
      if (last) {
        this._state = 'ended';
      }
      yield { req, last };
    }
  }
}
