/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A request that the daemon routes to a target, and its unsuccessful offers. */

import type { MemoryLease, MessageBody, RequestWorkspace } from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import type { CallChain } from '../load/chainControl.js';

/** A request as received from the server. */
export interface RoutedRequest {
  route: Route;
  service: string;
  callerService: string;
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: MessageBody;
  /** Memory of the body; released once the request is answered and no offer is under way. */
  memory?: MemoryLease | undefined;
  /** Rank under overload, 0 the most urgent. */
  rank: number;
  /** Chain of a call of the local target. */
  chain: CallChain;
  /** Workspace of the request; `validUntil` is the monotonic time until which its key may be trusted. */
  workspace: Pick<RequestWorkspace, 'name' | 'keyHash' | 'version' | 'validUntil'> | undefined;
  /** Deadline of the request, on the monotonic clock. */
  deadline: number;
}

/** An unsuccessful offer: its host, its result, and the load that the gate reported with the result. */
export interface FailedOffer {
  host: string;
  end: string;
  ms: number;
  inFlight: number;
  queued: number;
  limit: number;
}
