/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Effects: all that a procedure asks of the world. A procedure is a generator that yields one effect at a time and is
 * resumed with its reply, so it can be run against sockets, and stepped by hand with any fault at any step.
 */

import type { ClaimRecord, OfferTerms, PatchRecord } from '@gentiandrum/protocol';
import type { LevelReport } from '../admission/levelReport.js';
import type { ErrorKind } from '../errors/errorKind.js';
import type { Suspicion } from '../quarantine/suspicion.js';
import type { Candidate } from '../routing/targetPicker.js';
import type { KeyBid, KeyVerdict } from '../claims/keySettler.js';
import type { TargetResponse, ServeResult } from './served.js';

/** A request as it came in, its body read whole. */
export interface Payload {
  method: string;
  /** Path with query, as the target will see it. */
  path: string;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
}

/** How an offer to a gate ended. */
export type OfferResult =
  | { kind: 'answered'; answer: TargetResponse; unspent: number; level: LevelReport; retriedBelow: boolean; load?: GateLoad }
  | { kind: 'refused'; reason: ErrorKind; unspent: number; level: LevelReport; load?: GateLoad; suspicion?: Suspicion }
  | {
      kind: 'failed';
      reason: ErrorKind;
      unspent: number;
      level: LevelReport;
      retriedBelow: boolean;
      load?: GateLoad;
      /** What the gate holds against the call's kind: whoever sends it on should know. */
      suspicion?: Suspicion;
    }
  /** Nothing was heard. `written` tells whether the gate may have taken it; `cause` is for the log. */
  | { kind: 'lost'; written: boolean; cause?: string };

/** Load of a gate as it reports it. */
export interface GateLoad {
  load: number;
  limit: number;
}

/** What a call that waits for its attempts hears. */
export type CallEvent =
  | { kind: 'ended'; attempt: string; result: OfferResult }
  | { kind: 'timeout' }
  /** The caller hung up. */
  | { kind: 'caller_gone' };

/** How a target ended a call that was forwarded to it. */
export type ForwardResult =
  | { kind: 'answered'; answer: TargetResponse }
  | { kind: 'truncated' }
  | { kind: 'too_large' }
  | { kind: 'lost'; written: boolean }
  | { kind: 'timeout' }
  | { kind: 'cancelled' };

/** What the gate made of a call that waited. */
export type AdmissionResult = { kind: 'started' } | { kind: 'shed'; reason: ErrorKind } | { kind: 'cancelled' };

/** Where a record went that was appended. */
export type AppendResult =
  | { kind: 'appended'; offset: number }
  /** The log took nothing. */
  | { kind: 'refused' }
  /** No answer: the append may have taken effect. */
  | { kind: 'lost' };

/** Whether a stream could be read up to where it was asked. */
export type ReadResult = { kind: 'read' } | { kind: 'unavailable' };

/** What came of a claim that another daemon appended. */
export type RelayResult = { kind: 'holder'; holder: ClaimRecord } | { kind: 'unavailable' } | { kind: 'unreachable' };

/** What a claimant knows of a key. */
export type FetchResult =
  | { kind: 'recorded'; served: ServeResult }
  | { kind: 'running' }
  | { kind: 'not_run' }
  | { kind: 'mismatch' }
  | { kind: 'unknown' }
  | { kind: 'unreachable' };

/** Effect → its reply. */
export interface Effects {
  /** Sends an attempt to the gate of a target; its end comes as an event. */
  offer: { params: { attempt: string; to: Candidate; terms: OfferTerms; payload: Payload }; reply: undefined };
  /** Waits for the next event of the call's attempts, until `until` on the monotonic clock. */
  awaitEvent: { params: { until: number }; reply: CallEvent };
  /** Cancels an attempt. Replies whether it is certain that it never started; at once, with `unknown`, unless awaited. */
  cancel: {
    params: { attempt: string; to: Candidate; awaited: boolean };
    reply: { kind: 'before_start' } | { kind: 'started' } | { kind: 'unknown' };
  };
  /** Appends a claim to the stream of its shard. */
  appendClaim: { params: { shard: number; record: ClaimRecord }; reply: AppendResult };
  /** Reads a claims stream into its index: up to `upTo`, or to its present end. */
  readClaims: { params: { shard: number; upTo?: number }; reply: ReadResult };
  /** Asks the daemon that appends for a shard to append a claim, and to read back who holds the key. */
  relayClaim: { params: { to: string; shard: number; record: ClaimRecord }; reply: RelayResult };
  /** Asks another daemon who may run under a key that it settles. */
  settleKey: {
    params: { to: string; incarnation: number; bid: KeyBid; root?: string };
    reply: KeyVerdict | { kind: 'unreachable' };
  };
  /** Asks the claimant of a key for the answer, waiting for it up to `until`. */
  fetchAnswer: { params: { address: string; claimant: string; key: string; body: string; until: number }; reply: FetchResult };
  /** Waits for the running call of a key at this daemon, up to `until`; undefined when it gave up, or time did. */
  joinRunning: { params: { key: string; until: number }; reply: ServeResult | undefined };
  /** Waits for the gate's decision on a queued call. */
  awaitAdmission: { params: { attempt: string }; reply: AdmissionResult };
  /** Sends a started call to the target on this host. */
  forward: { params: { attempt: string; payload: Payload; entry: string; deadline: number }; reply: ForwardResult };
  /** Appends a patch to the configuration stream. */
  appendPatch: { params: { record: PatchRecord }; reply: AppendResult };
  /** Folds the configuration stream up to `upTo`, or to its present end. */
  readConfig: { params: { upTo?: number }; reply: ReadResult };
  /** Reads the latest snapshots into the fold. */
  readSnapshots: { params: object; reply: ReadResult };
  /** Appends a snapshot of the fold. */
  appendSnapshot: { params: object; reply: AppendResult };
  /** Asks the other known daemons, and the seeds, for their configuration and members. */
  queryPeers: { params: object; reply: { answered: number } };
  /** Makes this daemon known in the members stream. */
  appendMember: { params: { goodbye: boolean }; reply: AppendResult };
  /** Tells some daemons at once of a change of the own record. */
  notifyPeers: { params: object; reply: undefined };
  /** Waits. */
  sleep: { params: { ms: number }; reply: undefined };
  /** Waits until nothing is in flight, or `until` passes; replies how many calls still are. */
  awaitIdle: { params: { until: number }; reply: { inFlight: number } };
  /** Waits until all daemons that sent offers have none open, and send none any more, or `until` passes; replies how many have not. */
  awaitSenders: { params: { until: number }; reply: { senders: number } };
}

/** Name of an effect. */
export type EffectName = keyof Effects;
/** One effect with what it asks. */
export type Effect = { [K in EffectName]: { type: K } & Effects[K]['params'] }[EffectName];
/** Any reply. */
export type Reply = Effects[EffectName]['reply'];
/** A procedure that ends with a `T`. */
export type Procedure<T> = Generator<Effect, T, Reply>;

/** Yields one effect, and gives its reply the type that belongs to it. */
export function* perform<K extends EffectName>(type: K, params: Effects[K]['params']): Generator<Effect, Effects[K]['reply'], Reply> {
  const reply: Reply = yield { type, ...params } as Effect;
  return reply;
}
