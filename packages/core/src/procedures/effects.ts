/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Effects: all input and output of procedures. A procedure is a generator that yields one effect at a time and resumes with its reply.
 * Daemons perform effects on sockets; tests perform them in memory and inject faults at any step.
 */

import type { ClaimRecord, OfferTerms, PatchRecord } from '@gentiandrum/protocol';
import type { LevelReport } from '../admission/levelReport.js';
import type { ErrorKind } from '../errors/errorKind.js';
import type { Suspicion } from '../quarantine/suspicion.js';
import type { Candidate } from '../routing/targetPicker.js';
import type { KeyBid, KeyVerdict } from '../claims/keySettler.js';
import type { TargetResponse, ServeResult } from './serveResult.js';

/** A received request with its complete body. */
export interface Payload {
  method: string;
  /** Path and query string that the target receives. */
  path: string;
  headers: Record<string, string | string[]>;
  body: Uint8Array;
}

/** Result of an offer to a gate. */
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
      /** Suspicion that the gate has of the call's request fingerprint, for the sender to take into account. */
      suspicion?: Suspicion;
    }
  /** No result was received. `written` is true when the gate may have accepted the offer; `cause` is for the log. */
  | { kind: 'lost'; written: boolean; cause?: string };

/** Load and limit that a gate reports. */
export interface GateLoad {
  load: number;
  limit: number;
}

/** Event for a call that waits for its attempts. */
export type CallEvent =
  | { kind: 'ended'; attempt: string; result: OfferResult }
  | { kind: 'timeout' }
  /** The caller disconnected. */
  | { kind: 'caller_gone' };

/** Result of forwarding a call to the target. */
export type ForwardResult =
  | { kind: 'answered'; answer: TargetResponse }
  | { kind: 'truncated' }
  | { kind: 'too_large' }
  | { kind: 'lost'; written: boolean }
  | { kind: 'timeout' }
  | { kind: 'cancelled' };

/** The gate's decision on a queued call. */
export type AdmissionResult = { kind: 'started' } | { kind: 'shed'; reason: ErrorKind } | { kind: 'cancelled' };

/** Result of appending a record to the log. */
export type AppendResult =
  | { kind: 'appended'; offset: number }
  /** The log appended nothing. */
  | { kind: 'refused' }
  /** No response was received: the append may have taken effect. */
  | { kind: 'lost' };

/** Whether a stream could be read up to the requested offset. */
export type ReadResult = { kind: 'read' } | { kind: 'unavailable' };

/** Result of a claim that another daemon appends. */
export type RelayResult = { kind: 'holder'; holder: ClaimRecord } | { kind: 'unavailable' } | { kind: 'unreachable' };

/** Result of requesting a call's result from the claimant of its key. */
export type FetchResult =
  | { kind: 'recorded'; served: ServeResult }
  | { kind: 'running' }
  | { kind: 'not_run' }
  | { kind: 'mismatch' }
  | { kind: 'unknown' }
  | { kind: 'unreachable' };

/** Parameters and reply of each effect. */
export interface Effects {
  /** Sends an attempt to the gate of a target; its result arrives as an event. */
  offer: { params: { attempt: string; to: Candidate; terms: OfferTerms; payload: Payload }; reply: undefined };
  /** Waits for the next event of the call's attempts, until `until` on the monotonic clock. */
  awaitEvent: { params: { until: number }; reply: CallEvent };
  /** Cancels an attempt. Replies whether it provably never started; unless `awaited`, replies `unknown` at once. */
  cancel: {
    params: { attempt: string; to: Candidate; awaited: boolean };
    reply: { kind: 'before_start' } | { kind: 'started' } | { kind: 'unknown' };
  };
  /** Appends a claim to the stream of its shard. */
  appendClaim: { params: { shard: number; record: ClaimRecord }; reply: AppendResult };
  /** Reads a claims stream into its index: up to `upTo`, or to its current end. */
  readClaims: { params: { shard: number; upTo?: number }; reply: ReadResult };
  /** Has the daemon that batches claims for a shard append a claim, and returns the holder of the key. */
  relayClaim: { params: { to: string; shard: number; record: ClaimRecord }; reply: RelayResult };
  /** Queries the daemon that settles a key for the claimant that may run under it. */
  settleKey: {
    params: { to: string; incarnation: number; bid: KeyBid; root?: string };
    reply: KeyVerdict | { kind: 'unreachable' };
  };
  /** Requests the result from the claimant of a key, waiting for it up to `until`. */
  fetchAnswer: { params: { address: string; claimant: string; key: string; body: string; until: number }; reply: FetchResult };
  /** Waits up to `until` for the running call of a key at this daemon; undefined when it was abandoned or the time passed. */
  joinRunning: { params: { key: string; until: number }; reply: ServeResult | undefined };
  /** Waits for the gate's decision on a queued call. */
  awaitAdmission: { params: { attempt: string }; reply: AdmissionResult };
  /** Sends a started call to the local target. */
  forward: { params: { attempt: string; payload: Payload; entry: string; deadline: number }; reply: ForwardResult };
  /** Appends a patch to the configuration stream. */
  appendPatch: { params: { record: PatchRecord }; reply: AppendResult };
  /** Folds the configuration stream up to `upTo`, or to its current end. */
  readConfig: { params: { upTo?: number }; reply: ReadResult };
  /** Reads the latest snapshots into the fold. */
  readSnapshots: { params: object; reply: ReadResult };
  /** Appends a snapshot of the fold. */
  appendSnapshot: { params: object; reply: AppendResult };
  /** Queries known daemons and seeds for their configuration and members. */
  queryPeers: { params: object; reply: { answered: number } };
  /** Appends the local daemon's record to the members stream; `goodbye` marks the last record of a graceful shutdown. */
  appendMember: { params: { goodbye: boolean }; reply: AppendResult };
  /** Sends a change of the local daemon's record to some daemons at once. */
  notifyPeers: { params: object; reply: undefined };
  sleep: { params: { ms: number }; reply: undefined };
  /** Waits until nothing is in flight, or `until` passes; replies the number of calls still in flight. */
  awaitIdle: { params: { until: number }; reply: { inFlight: number } };
  /** Waits until no sender has open offers or sends new ones, or `until` passes; replies the number of remaining senders. */
  awaitSenders: { params: { until: number }; reply: { senders: number } };
}

/** Name of an effect. */
export type EffectName = keyof Effects;
/** One effect with its parameters. */
export type Effect = { [K in EffectName]: { type: K } & Effects[K]['params'] }[EffectName];
/** Reply to any effect. */
export type Reply = Effects[EffectName]['reply'];
/** A procedure that returns a `T`. */
export type Procedure<T> = Generator<Effect, T, Reply>;

/** Yields one effect and returns its typed reply. */
export function* perform<K extends EffectName>(type: K, params: Effects[K]['params']): Generator<Effect, Effects[K]['reply'], Reply> {
  const reply: Reply = yield { type, ...params } as Effect;
  return reply;
}
