/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What targets, operators and callers exchange with a daemon over HTTP. Paths below `/-/` are the daemon's own.
 */

import * as z from 'zod';

/** Header with the opaque token of a call's chain. */
export const kChainHeader = 'gentiandrum-chain';
/** Name of the W3C baggage entry that carries the same token. */
export const kBaggageKey = 'gentiandrum-chain';
/** Header by which a caller tells the time it allows, in milliseconds. */
export const kTimeoutHeader = 'gentiandrum-timeout-ms';
/** Header with the request's id, on answers. */
export const kRequestIdHeader = 'gentiandrum-request-id';
/** Header on answers: how the call ended, one of `not_run`, `unknown`, `ran`. */
export const kOutcomeHeader = 'gentiandrum-outcome';
/** Header of the daemon-to-daemon call with the offer's terms. */
export const kOfferHeader = 'gentiandrum-offer';
/** Header of the daemon-to-daemon answer. */
export const kVerdictHeader = 'gentiandrum-verdict';
/** Media type of error answers, RFC 9457. */
export const kProblemMediaType = 'application/problem+json';

/** A target's announcement to the daemon on its host; repeated at least every few seconds. */
export const announcementSchema = z.strictObject({
  target: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  service: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/),
  /** Base address on this host, such as `http://10.1.2.3:8080`. */
  url: z.url(),
  slots: z.int().min(1).max(100_000),
  connections: z.int().min(1).max(100_000),
  /** The target's own word: false when it wants no new work. */
  accepting: z.boolean().default(true),
  /** Load that the target reports of itself, in calls in flight. A hint: it may lag or mislead. */
  load: z.number().min(0).optional(),
});

/** An operator's patch as submitted to a daemon. */
export const patchRequestSchema = z.strictObject({
  patchId: z.string().min(8).max(64),
  base: z.int().min(0),
  author: z.string().min(1).max(100),
  patch: z.record(z.string(), z.unknown()),
});

/** What is held against a kind of request that targets may have ended by. */
export const suspicionSchema = z.object({
  fingerprint: z.string().min(1),
  screen: z.number().min(0),
  route: z.string(),
  marks: z.array(z.object({ crash: z.number().min(0), at: z.number(), tested: z.boolean(), cleared: z.boolean(), released: z.boolean() })),
});

/** Terms of an offer from one daemon to another; travels in the offer header as JSON. */
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
  /** Which call of the chain this is, the same for each attempt at it. */
  path: z.string(),
  rootDaemon: z.string(),
  rootAddress: z.string(),
  rootIncarnation: z.number(),
  /** What the sender holds against the call's kind; absent when nothing. */
  suspicion: suspicionSchema.optional(),
});

/** An offer with the request's own head; travels in the offer header as JSON. */
export const offerHeadSchema = z.object({
  terms: offerTermsSchema,
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Daemon that sends the offer; empty when it doesn't say. */
  from: z.string().default(''),
});

/** How the gate answered an offer; travels in the verdict header as JSON. */
export const offerVerdictSchema = z.object({
  kind: z.enum(['answered', 'refused', 'failed', 'lost']),
  /** Reason of a refusal or failure: one of the error kinds. */
  reason: z.string().optional(),
  /** Allowance that was not spent below. */
  unspent: z.int().min(0),
  /** Tightest admission level met at the gate or below it, and the service that set it. */
  level: z.object({ level: z.number().min(0), service: z.string() }),
  /** Whether the failure was already retried below. */
  retriedBelow: z.boolean(),
  /** Calls running and waiting at the gate, and its limit. */
  /** What the gate holds against the call's kind. */
  suspicion: suspicionSchema.optional(),
  load: z.number().min(0),
  limit: z.number().min(1),
  /** Status and headers of the target's answer; the body is the message's body. */
  status: z.int().optional(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])).optional(),
});

/** Checked announcement. */
export type Announcement = z.infer<typeof announcementSchema>;
/** Checked patch request. */
export type PatchRequest = z.infer<typeof patchRequestSchema>;
/** Checked terms of an offer. */
export type OfferTerms = z.infer<typeof offerTermsSchema>;
