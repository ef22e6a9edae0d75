/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the connections of callers need from the server that owns them. */

import type { MemoryAccount, ServerPhase } from '@gentiandrum/core';
import type { HeaderReader } from '../http/headerReader.js';
import type { ParseFault } from '../http/messageParser.js';
import type { CallerConnection } from './callerConnection.js';
import type { CallerRequest } from './callerRequest.js';

/** Configured limits for callers. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Longest time for reading a request head, in milliseconds. */
  headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  idleTimeoutMs: number;
}

/** Reason for rejecting a request before it was read completely. */
export type ReadFault = ParseFault | 'head_too_late' | 'body_too_long' | 'body_too_late' | 'no_memory';

/** Server that owns the connection. */
export interface ConnectionOwner {
  readonly headers: HeaderReader;
  readonly memory: MemoryAccount;
  readonly limits: CallerLimits;
  readonly phase: ServerPhase;
  /** A request was read completely. */
  onRequest(req: CallerRequest): void;
  /** A request cannot be read; the connection closes after its response. */
  onFault(req: CallerRequest, fault: ReadFault): void;
  /** The connection was closed before the response to a request was sent. */
  onUnanswered(req: CallerRequest, closedBy: ConnectionEnd): void;
  onClose(connection: CallerConnection): void;
}

/** Who closed a connection first. */
export type ConnectionEnd = 'caller' | 'daemon';
