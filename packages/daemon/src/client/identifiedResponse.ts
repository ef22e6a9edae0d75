/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Accepts only a response that was sent for its request.
 *
 * The first response on a connection belongs to the first request. Later ones may be responses to earlier requests, or be joined with
 * parts of them, so they have to repeat the id of their attempt in a head that can't consist of two.
 */

import { STATUS_CODES } from 'node:http';
import { containsStatusLine } from '@gentiandrum/core';
import { kAttemptIdHeader } from '@gentiandrum/protocol';
import type { Dispatcher } from 'undici';
import type { ConnectionUse } from './connectionUse.js';

type Controller = Dispatcher.DispatchController;
type Headers = Record<string, string | string[] | undefined>;

const kOk = 200;
const kPhrases = Object.values(STATUS_CODES).filter((phrase) => phrase !== undefined);
/** The parser of undici reports only the last piece of a reason phrase, which must not be the end of another standard phrase. */
const kDistinctPhrases: ReadonlySet<string> = new Set(
  kPhrases.filter((phrase) => kPhrases.every((other) => other === phrase || !other.endsWith(phrase))),
);

export class IdentifiedResponse implements Dispatcher.DispatchHandler {
  private _connection: ConnectionUse | undefined;
  private _identified = false;

  /** @param _attemptId undefined if the request carries none; then its connection is not used again */
  constructor(
    private readonly _handler: Dispatcher.DispatchHandler,
    private readonly _attemptId: string | undefined,
  ) {}

  /** Sets the connection that the request is sent on. */
  sendOn(connection: ConnectionUse): void {
    this._connection = connection;
  }

  onRequestStart(controller: Controller, context: unknown): void {
    this._handler.onRequestStart?.(controller, context);
  }

  onResponseStart(controller: Controller, status: number, headers: Headers, phrase?: string): void {
    const { [kAttemptIdHeader]: id, ...others } = headers;
    if (status >= kOk) {
      this._identified = id !== undefined && id === this._attemptId && hasDistinctPhrase(status, phrase);
      const foreign = id !== undefined && id !== this._attemptId;
      if (hasStatusLine(headers, phrase)) {
        controller.abort(new Error('expected the head of one response, got a status line within it'));
        return;
      }
      if (foreign || (this._connection?.used === true && !this._identified)) {
        controller.abort(new Error(`expected a response with the attempt id "${this._attemptId ?? ''}", got "${String(id ?? '')}"`));
        return;
      }
      this._connection?.markUsed();
    }
    this._handler.onResponseStart?.(controller, status, others, phrase);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this._handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Controller, trailers: Headers): void {
    if (!this._identified) {
      this._connection?.close();
    }
    this._handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, err: Error): void {
    this._handler.onResponseError?.(controller, err);
  }
}

/** Whether the phrase shows that the status is its own: it can't be the rest of the status line of another response. */
function hasDistinctPhrase(status: number, phrase: string | undefined): boolean {
  return phrase !== undefined && phrase === STATUS_CODES[status] && kDistinctPhrases.has(phrase);
}

/** Whether a status line is in a phrase or a value, as when a head was cut and another response follows on the connection. */
function hasStatusLine(headers: Headers, phrase = ''): boolean {
  return [phrase, ...Object.values(headers).flat()].some((text) => text !== undefined && containsStatusLine(text));
}
