/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Log lines about the ends of requests. */

import { monotonicMs } from '@gentiandrum/core';
import type { CallExchange, ExchangeResult } from '../app/calls/callExchange.js';
import type { EventFields, EventLog } from '../app/eventLog.js';
import type { CallerRequest } from './callerRequest.js';
import type { ConnectionEnd } from './connectionOwner.js';

/** A request that was forwarded, and its result. */
interface EndedExchange {
  exchange: CallExchange;
  route: string;
  result: ExchangeResult;
  requestId: string;
}

/** Logs the result of a request; complete responses are of low priority. */
export function logResult(events: EventLog, { exchange, route, result, requestId }: EndedExchange): void {
  const fields = (): EventFields => ({
    req: requestId,
    route,
    offers: exchange.offers,
    target: exchange.target,
    ms: Math.round(exchange.ageMs),
    ...(exchange.failed.length > 0 ? { failed: exchange.failed } : {}),
  });
  if (result.kind !== 'answered') {
    events.info('calls', 'Request failed without a response from a target.', { ...fields(), ...result });
    return;
  }
  const { status } = result.answer;
  if (status < 500) {
    events.infoLowPriority('calls', 'Request completed.', () => ({ ...fields(), status }));
  } else {
    events.info('calls', 'Target responded with a server error.', { ...fields(), status });
  }
}

/** Logs that a connection closed before the response to a request; a caller may do so at any time, this daemon should not. */
export function logUnanswered(events: EventLog, req: CallerRequest, closedBy: ConnectionEnd): void {
  const text = `Connection closed by the ${closedBy} before the response to a request was sent.`;
  const fields = (): EventFields => ({ req: req.headers.requestId, ms: Math.round(monotonicMs() - req.receivedAt) });
  switch (closedBy) {
    case 'caller':
      events.infoLowPriority('calls', text, fields);
      return;
    case 'daemon':
      events.warn('calls', text, fields());
      return;
  }
}
