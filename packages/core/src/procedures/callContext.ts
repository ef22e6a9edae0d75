/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Data and dependencies of the procedures that serve a call. */

import type { OfferTerms } from '@gentiandrum/protocol';
import type { LevelReport } from '../admission/levelReport.js';
import type { RootFilter } from '../admission/rootFilter.js';
import type { RetryLedger } from '../chain/retryLedger.js';
import type { RetryTokenBucket } from '../chain/retryTokenBucket.js';
import type { ResponseStore } from '../claims/responseStore.js';
import type { ClaimIndex } from '../claims/claimIndex.js';
import type { KeySettler } from '../claims/keySettler.js';
import type { NamedClass } from '../routing/classifier.js';
import type { Candidate, Choice, TargetPicker } from '../routing/targetPicker.js';
import type { Suspects } from '../quarantine/suspects.js';
import type { Suspicion } from '../quarantine/suspicion.js';
import type { Payload } from './effects.js';
import type { ServeResult } from './serveResult.js';

/** Key by which a call runs at most once. */
export type CallKey =
  | { kind: 'none' }
  /** Digest of the caller's `Idempotency-Key`. */
  | { kind: 'own'; key: string }
  /** Key of the form `namespace/sequence`, in a namespace that a daemon minted. */
  | { kind: 'minted'; key: string; owner: string; address: string; incarnation: number }
  /** Key derived from the chain; settled by the daemon where the root request entered. */
  | { kind: 'derived'; key: string };

/** Position of a call in its chain. */
export interface ChainPosition {
  /** Id of the root request. */
  root: string;
  /** Ledger entry of the parent call at this daemon; undefined for a root request. */
  parent?: string;
  importance: number;
  cohort: number;
  depth: number;
  rootDaemon: string;
  rootAddress: string;
  rootIncarnation: number;
  /** Whether any ancestor may be sent more than once. */
  repeatable: boolean;
  /** Identifies the call within its chain, the same for every attempt; empty for the root. */
  path: string;
}

/** A call that this daemon serves. */
export interface Call {
  id: string;
  cls: NamedClass;
  chain: ChainPosition;
  key: CallKey;
  /** Digest of method, path and body. */
  bodyDigest: string;
  payload: Payload;
  /** Monotonic time at which the deadline passes, in milliseconds. */
  deadline: number;
}

/** Log entry of one decision: the chosen target, the candidates and the reason. */
export interface Decision {
  request: string;
  step: 'refuse' | 'route' | 'retry' | 'compete' | 'settle' | 'join' | 'lost' | 'end';
  cls: string;
  target?: string;
  weighed?: Choice['weighed'];
  reason: string;
  overload?: OverloadDetail;
}

/** Why a call is refused as `overloaded`: its rank is not below the admission level, or the gate can't run it in time. */
export interface OverloadDetail {
  rank: number;
  level: number;
  /** Service that set the level. */
  service: string;
}

/** Parts of the daemon that serve a call. */
export interface ServeContext {
  daemon: { id: string; incarnation: number; address: string };
  stopping: () => boolean;
  /** Time at which a graceful shutdown interrupts the calls in flight, on the monotonic clock; infinite without a limit. */
  exitAt: () => number;
  candidates: (service: string) => readonly Candidate[];
  /** Called when the daemon of a candidate is unreachable. */
  onUnreachable: (candidate: Candidate) => void;
  /** Number of targets of a service that accept no requests now, but may recover. */
  unavailableTargets: (service: string) => number;
  /** Request fingerprints that are suspected of crashing targets. */
  suspects: Pick<Suspects, 'assess' | 'mergeFromCall'>;
  picker: TargetPicker;
  rootFilter: RootFilter;
  ledger: RetryLedger;
  retryBucket: (service: string) => RetryTokenBucket;
  responses: ResponseStore;
  settler: KeySettler;
  /** Shard of a key. `relay` is the address of the daemon that batches claims for the shard; undefined when that is the local daemon. */
  claimShard: (key: string) => { shard: number; index: ClaimIndex; relay?: string };
  newId: () => string;
  logDecision: (decision: Decision) => void;
}

/** Attempt data that goes into the terms of its offer. */
export interface OfferedAttempt {
  attempt: string;
  choice: Choice;
  allowance: number;
  now: number;
  /** Suspicion of the call's request fingerprint; undefined when there is none. */
  suspicion: Suspicion | undefined;
}

/** Builds the terms of the offer for an attempt. */
export function offerTerms(call: Call, { attempt, choice, allowance, now, suspicion }: OfferedAttempt): OfferTerms {
  const { chain, cls } = call;
  return {
    attempt,
    root: chain.root,
    request: call.id,
    service: cls.service,
    target: choice.candidate.target,
    className: cls.name,
    importance: chain.importance,
    cohort: chain.cohort,
    depth: chain.depth,
    allowance,
    remainingMs: call.deadline - now,
    idempotent: cls.idempotent,
    repeatable: chain.repeatable || (cls.idempotent && (cls.retries > 0 || allowance > 0)),
    path: chain.path,
    rootDaemon: chain.rootDaemon,
    rootAddress: chain.rootAddress,
    rootIncarnation: chain.rootIncarnation,
    ...(suspicion ? { suspicion } : {}),
  };
}

/** Result of a served call, with the data that its chain needs. */
export interface ServedCall {
  served: ServeResult;
  /** Retry allowance that the call did not use. */
  unspent: number;
  level: LevelReport;
  /** Whether callers further up must not retry: the call was already retried, or a retry would meet the same overload. */
  final: boolean;
}
