/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Error kinds and the responses to them. */

/** What is known about the execution of a failed call. */
export type Outcome = 'not_run' | 'unknown' | 'ran';

/** Response to an error kind. */
export interface ErrorResponse {
  /** HTTP status. */
  status: number;
  /** Outcome that the kind implies; the attempts of a call may prove less, see `proveOutcome`. */
  outcome: Outcome;
  /** Whether the caller may repeat the same request, with the same key if it has one. */
  repeat: boolean;
  /** Whether the response has a `Retry-After` header. */
  retryAfter: boolean;
  /** Human-readable summary. */
  title: string;
}

/** Response to each error kind. */
export const kErrorResponses = {
  bad_request: { status: 400, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Malformed request' },
  bad_chain_token: { status: 400, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Chain token forged or truncated' },
  body_too_large: { status: 413, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Body over the limit' },
  unknown_service: { status: 404, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Unknown service' },
  unknown_class: { status: 404, outcome: 'not_run', repeat: false, retryAfter: false, title: 'No request class matches' },
  chain_too_deep: { status: 508, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Chain too deep' },
  key_mismatch: { status: 422, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Idempotency key used with another body' },
  bad_key: { status: 400, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Malformed idempotency key' },
  overloaded: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Shed under overload' },
  no_target: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'No target accepts work' },
  target_leaving: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Target is leaving' },
  target_shed: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Shed by the target' },
  stopping: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Daemon is stopping' },
  log_unavailable: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: "The platform's log is unavailable" },
  settler_unreachable: {
    status: 503,
    outcome: 'not_run',
    repeat: true,
    retryAfter: true,
    title: 'The daemon that settles the key is unreachable',
  },
  deadline_before_start: { status: 504, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Deadline would pass before an answer' },
  quarantined: {
    status: 503,
    outcome: 'not_run',
    repeat: false,
    retryAfter: true,
    title: 'Held back: targets ended by this kind of request',
  },
  suspected: { status: 503, outcome: 'not_run', repeat: true, retryAfter: true, title: 'Targets may have ended by this kind of request' },
  cancelled_before_start: { status: 499, outcome: 'not_run', repeat: true, retryAfter: false, title: 'Cancelled before the start' },
  cancelled: { status: 499, outcome: 'unknown', repeat: true, retryAfter: false, title: 'Cancelled' },
  deadline_exceeded: { status: 504, outcome: 'unknown', repeat: true, retryAfter: true, title: 'Deadline passed' },
  attempt_lost: { status: 502, outcome: 'unknown', repeat: true, retryAfter: true, title: 'Answer lost' },
  answer_truncated: { status: 502, outcome: 'unknown', repeat: true, retryAfter: true, title: 'Answer incomplete' },
  answer_too_large: { status: 502, outcome: 'ran', repeat: false, retryAfter: false, title: 'Answer over the limit' },
  target_failed: { status: 502, outcome: 'unknown', repeat: true, retryAfter: true, title: 'Target failed' },
  internal_error: { status: 500, outcome: 'unknown', repeat: false, retryAfter: false, title: 'Fault of the daemon' },
  outcome_unknown: { status: 502, outcome: 'unknown', repeat: false, retryAfter: false, title: 'Outcome of an earlier run unknown' },
  patch_conflict: { status: 409, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Patch lost to another' },
  patch_invalid: { status: 422, outcome: 'not_run', repeat: false, retryAfter: false, title: 'Patch gives an invalid configuration' },
  patch_unsettled: {
    status: 503,
    outcome: 'unknown',
    repeat: true,
    retryAfter: true,
    title: 'Fate of the patch unknown until the log answers',
  },
} as const satisfies Record<string, ErrorResponse>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof kErrorResponses;

/** Whether a text is the name of an error kind. */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(kErrorResponses, text);
}

/** Returns the response to an error kind. */
export function errorResponse(kind: ErrorKind): ErrorResponse {
  return kErrorResponses[kind];
}
