/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a procedure that serves a call knows and uses. */

import type { OfferTerms } from '@gentiandrum/protocol';
import type { LevelReport } from '../admission/levelReport.js';
import type { RootFilter } from '../admission/rootFilter.js';
import type { RetryLedger } from '../chain/retryLedger.js';
import type { RetryRatio } from '../chain/retryRatio.js';
import type { AnswerStore } from '../claims/answerStore.js';
import type { ClaimIndex } from '../claims/claimIndex.js';
import type { KeySettler } from '../claims/keySettler.js';
import type { NamedClass } from '../routing/classifier.js';
import type { Candidate, Choice, TargetPicker } from '../routing/targetPicker.js';
import type { Suspects } from '../quarantine/suspects.js';
import type { Suspicion } from '../quarantine/suspicion.js';
import type { Payload } from './effects.js';
import type { ServeResult } from './served.js';

/** How a call is identified for the sake of running it at most once. */
export type CallKey =
  | { kind: 'none' }
  /** The caller's own `Idempotency-Key`, digested. */
  | { kind: 'own'; key: string }
  /** A numbered key, `namespace/sequence`, of a namespace that a daemon minted. */
  | { kind: 'minted'; key: string; owner: string; address: string; incarnation: number }
  /** Derived from the chain; settled by the daemon where the root request entered. */
  | { kind: 'derived'; key: string };

/** Where a call stands in its chain. */
export interface ChainPosition {
  /** Id of the root request. */
  root: string;
  /** Ledger entry of the parent call at this daemon; none for a root request. */
  parent?: string;
  importance: number;
  cohort: number;
  depth: number;
  rootDaemon: string;
  rootAddress: string;
  rootIncarnation: number;
  /** Whether an ancestor may be sent more than once. */
  repeatable: boolean;
  /** Which call of the chain this is, the same for each attempt at it; empty for the root. */
  path: string;
}

/** A call to be served at this daemon. */
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

/** One decision, for the log: what was chosen, from what, and why. */
export interface Decision {
  request: string;
  step: 'refuse' | 'route' | 'retry' | 'compete' | 'settle' | 'join' | 'lost' | 'end';
  cls: string;
  target?: string;
  weighed?: Choice['weighed'];
  reason: string;
}

/** What serving a call uses of its daemon. */
export interface ServeContext {
  daemon: { id: string; incarnation: number; address: string };
  stopping: () => boolean;
  candidates: (service: string) => readonly Candidate[];
  /** Told that nothing answers at a candidate's daemon. */
  onUnreachable: (candidate: Candidate) => void;
  /** Targets of a service that take no work now, and may again. */
  unavailableTargets: (service: string) => number;
  /** Kinds of calls that targets may have ended by. */
  suspects: Pick<Suspects, 'assess' | 'quietMs' | 'learn'>;
  picker: TargetPicker;
  rootFilter: RootFilter;
  ledger: RetryLedger;
  retryRatio: (service: string) => RetryRatio;
  answers: AnswerStore;
  settler: KeySettler;
  /** Shard of a key; `relay` is the address of the daemon that batches for it, when that is another. */
  claimShard: (key: string) => { shard: number; index: ClaimIndex; relay?: string };
  newId: () => string;
  logDecision: (decision: Decision) => void;
}

/** One attempt of a call as its offer tells it. */
export interface OfferedAttempt {
  attempt: string;
  choice: Choice;
  allowance: number;
  now: number;
  /** What is held against the call's kind. */
  suspicion: Suspicion | undefined;
}

/** Terms of an offer for an attempt of a call. */
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
    ...(suspicion ? { suspicion: { ...suspicion, marks: [...suspicion.marks] } } : {}),
  };
}

/** Result of a served call, with what its chain needs to know. */
export interface ServedCall {
  served: ServeResult;
  /** Allowance left of what the call had. */
  unspent: number;
  level: LevelReport;
  /** Whether the call failed for good: a retry above it would be a second one, or would meet the same overload. */
  final: boolean;
}
