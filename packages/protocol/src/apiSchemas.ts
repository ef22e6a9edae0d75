/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Headers and JSON schemas of the HTTP interface between daemons, targets, operators and callers. */

import * as z from 'zod';
import { shallowValueSchema } from './nesting.js';

/** Request header with the opaque token that identifies the call chain. */
export const kChainHeader = 'gentiandrum-chain';
/** Name of the W3C baggage entry that carries the chain token. */
export const kBaggageKey = 'gentiandrum-chain';
/** Request header with the caller's timeout, in milliseconds. */
export const kTimeoutHeader = 'gentiandrum-timeout-ms';
/** Request header to targets with the id of the attempt; a target that repeats it in its responses keeps its connections. */
export const kAttemptIdHeader = 'gentiandrum-attempt-id';
/** Response header with the request id. */
export const kRequestIdHeader = 'gentiandrum-request-id';
/** Response header with the outcome of the call: `not_run`, `unknown` or `ran`. */
export const kOutcomeHeader = 'gentiandrum-outcome';
/** Request header between daemons with the offer, as JSON. */
export const kOfferHeader = 'gentiandrum-offer';
/** Response header between daemons with the offer's verdict, as JSON. */
export const kVerdictHeader = 'gentiandrum-verdict';
/** Media type of error responses (RFC 9457). */
export const kProblemMediaType = 'application/problem+json';

/** Announcement that a target sends periodically to the daemon on its host. */
export const announcementSchema = z.strictObject({
  target: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  service: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  /** Base URL of the target, such as `http://10.1.2.3:8080`. */
  url: z.url(),
  slots: z.int().min(1).max(100_000),
  connections: z.int().min(1).max(100_000),
  /** Whether the target accepts new requests. */
  accepting: z.boolean().default(true),
  /** Calls in flight as reported by the target; may be stale or inaccurate. */
  load: z.number().min(0).optional(),
});

/** Configuration patch that an operator submits to a daemon. */
export const patchRequestSchema = z.strictObject({
  patchId: z.string().min(8).max(64),
  base: z.int().min(0),
  author: z.string().min(1).max(100),
  patch: z.record(z.string(), shallowValueSchema),
});

/** Evidence that requests with one fingerprint crash targets. */
export const suspicionSchema = z.object({
  fingerprint: z.string().min(1),
  screen: z.number().min(0),
  route: z.string(),
  marks: z
    .array(z.object({ crash: z.number().min(0), at: z.number(), tested: z.boolean(), cleared: z.boolean(), released: z.boolean() }))
    .readonly(),
  /** Runs that may be in flight; absent where there are none. */
  runs: z
    .array(z.object({ host: z.string(), startedAt: z.number(), remainingMs: z.number().min(0) }))
    .readonly()
    .optional(),
});

/** Terms of an offer from one daemon to another. */
export const offerTermsSchema = z.object({
  attempt: z.string(),
  root: z.string(),
  request: z.string(),
  service: z.string(),
  target: z.string(),
  className: z.string(),
  importance: z.int().min(0).max(7),
  cohort: z.int().min(0).max(127),
  depth: z.int().min(0),
  allowance: z.int().min(0),
  remainingMs: z.number(),
  idempotent: z.boolean(),
  repeatable: z.boolean(),
  /** Identifies the call within its chain; the same for every attempt. */
  path: z.string(),
  rootDaemon: z.string(),
  rootAddress: z.string(),
  rootIncarnation: z.number(),
  /** The sender's crash evidence for the request's fingerprint, if any. */
  suspicion: suspicionSchema.optional(),
});

/** Content of the offer header: the offer's terms with the method, path and headers of the request. */
export const offerHeadSchema = z.object({
  terms: offerTermsSchema,
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Id of the sending daemon; empty if it is not given. */
  from: z.string().default(''),
});

/** Content of the verdict header: the gate's response to an offer. */
export const offerVerdictSchema = z.object({
  kind: z.enum(['answered', 'refused', 'failed', 'lost']),
  /** Error kind of a refusal or failure. */
  reason: z.string().optional(),
  /** Retry allowance that downstream calls did not use. */
  unspent: z.int().min(0),
  /** Strictest admission level at this gate and downstream of it, and the service that set it. */
  level: z.object({ level: z.number().min(0), service: z.string() }),
  /** Whether a downstream daemon already retried the failed call. */
  retriedBelow: z.boolean(),
  /** The receiving daemon's crash evidence for the request's fingerprint, if any. */
  suspicion: suspicionSchema.optional(),
  /** Calls in flight and queued at the gate. */
  load: z.number().min(0),
  /** Concurrency limit of the gate. */
  limit: z.number().min(1),
  /** Status of the target's response, whose body is the body of this message. */
  status: z.int().optional(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])).optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type PatchRequest = z.infer<typeof patchRequestSchema>;
export type OfferTerms = z.infer<typeof offerTermsSchema>;
export type OfferHead = z.infer<typeof offerHeadSchema>;
