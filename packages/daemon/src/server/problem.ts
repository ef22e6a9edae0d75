/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Responses to callers: responses of targets, and errors as problem+json (RFC 9457). */

import { errorResponse, type TargetResponse, type ErrorKind, type ServeResult } from '@gentiandrum/core';
import { kOutcomeHeader, kProblemMediaType, kRequestIdHeader } from '@gentiandrum/protocol';
import type { FastifyReply } from 'fastify';

/** Range over which `Retry-After` values are spread, so that callers do not all retry at once, in seconds. */
const kRetryAfterSpreadSeconds = 4;
/** Response headers that are not forwarded: hop-by-hop headers, and those that the server sets itself. */
const kExcludedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'trailer',
  'te',
]);

/** Body of an error response. */
export interface Problem {
  type: string;
  title: string;
  status: number;
  detail: string;
  /** Request id. */
  instance: string;
  kind: ErrorKind;
  outcome: string;
  repeatable: boolean;
  /** `try` if `not_run` applies to this try only and an earlier one with the same key may have run. */
  scope: 'request' | 'try';
}

/** Sends the result of a call to its caller. */
export function sendResult(reply: FastifyReply, id: string, result: ServeResult): void {
  void reply.header(kRequestIdHeader, id);
  if (result.kind === 'answer') {
    sendResponse(reply, result.answer);
    return;
  }
  sendProblem(reply, id, result);
}

function sendResponse(reply: FastifyReply, response: TargetResponse): void {
  for (const [name, value] of Object.entries(response.headers)) {
    if (!kExcludedHeaders.has(name)) {
      void reply.header(name, value);
    }
  }
  void reply.header(kOutcomeHeader, 'ran').code(response.status).send(response.body);
}

function sendProblem(reply: FastifyReply, id: string, result: Extract<ServeResult, { kind: 'error' }>): void {
  const { error, outcome, detail, thisTryOnly } = result;
  const { status, title, repeat, retryAfter } = errorResponse(error);
  const problem: Problem = {
    type: `urn:gentiandrum:error:${error}`,
    title,
    status,
    detail,
    instance: id,
    kind: error,
    outcome,
    repeatable: repeat,
    scope: thisTryOnly === true ? 'try' : 'request',
  };
  if (retryAfter) {
    void reply.header('retry-after', 1 + Math.floor(Math.random() * kRetryAfterSpreadSeconds));
  }
  void reply
    .header(kOutcomeHeader, outcome)
    .header('content-type', kProblemMediaType)
    .code(status)
    .send(Buffer.from(JSON.stringify(problem)));
}
