/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a connection to the target reports of a request. */

import type { MemoryLease, MessageBody } from '@gentiandrum/core';
import type { ResponseHeaders } from '../http/headerReader.js';

/** A complete response. */
export interface TargetResponse {
  status: number;
  headers: ResponseHeaders;
  body: MessageBody;
  /** Memory of a long body. */
  memory: MemoryLease | undefined;
}

/** Outcome of a request on a connection. */
export type ExchangeOutcome =
  | { kind: 'answered'; response: TargetResponse }
  /** The connection was not established, so nothing was sent. */
  | { kind: 'unreachable' }
  /** The request was sent without a complete response; `byTarget` when the target closed the connection. */
  | { kind: 'broken'; reason: string; byTarget: boolean };

/**
 * Data of a target that is not a response to the request: received without a request, behind a complete response, as a response with the id
 * of another request, which is discarded if it is that of an earlier request of the connection, or as the first part of a message in the
 * head of another one or in the body of a discarded one.
 */
export type UnsolicitedData = 'without_request' | 'behind_response' | 'other_request' | 'joined_heads';

/** Callbacks for a request on a connection. */
export interface ExchangeEvents {
  /** The head of the response was received; called before the body is complete. */
  onHead(status: number, headers: ResponseHeaders): void;
  /** There is no memory for the body of the response, of which `bytes` were stated or received; the exchange ends as broken. */
  onRefused(bytes: number): void;
  /** The exchange ended. */
  onDone(outcome: ExchangeOutcome): void;
}
