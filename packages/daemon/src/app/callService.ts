/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Serves the calls that arrive at this daemon: external requests, and requests from the target on this host. */

import {
  ResponseStore,
  type Call,
  type CallKey,
  type Candidate,
  type ChainPosition,
  Classifier,
  cohortOf,
  type ErrorKind,
  importanceIndex,
  KeySettler,
  monotonicMs,
  type NamedClass,
  type Payload,
  type EffectHandlers,
  releaseClaim,
  type RetryLedger,
  RetryTokenBucket,
  RootFilter,
  runProcedure,
  type ServeContext,
  serveCall,
  type ServeResult,
  type Suspects,
  type TargetPicker,
  errorResult,
  errorResponse,
  wallMs,
} from '@gentiandrum/core';
import { type Config, kMaxChainDepth } from '@gentiandrum/protocol';
import type { ChainToken } from '@gentiandrum/protocol/peers';
import type { PeerClient } from '../client/peerClient.js';
import { CallSession, type SessionDeps } from './callSession.js';
import type { ClaimService } from './claimService.js';
import type { DecisionLog } from './decisionLog.js';
import { digestOf, hash32, hashBytes64, hash64 } from './digests.js';
import { IdGenerator } from './idGenerator.js';
import type { Metrics } from './metrics.js';
import type { RequestMemory } from './requestMemory.js';
import { type ParsedKey, parseIdempotencyKey } from './idempotencyKey.js';

/** A request as received by the HTTP server. */
export interface IncomingRequest {
  service: string;
  payload: Payload;
  /** Raw value of the `Idempotency-Key` header. */
  key: string | undefined;
  /** Timeout that the caller set, in milliseconds. */
  timeoutMs: number | undefined;
  chain: ChainToken | undefined;
  /** Counts the bodies of its responses. */
  memory: RequestMemory | undefined;
}

/** Id and result of a request. The owner of the connection must call `onCallerDisconnect` when the connection closes. */
export interface AcceptedRequest {
  id: string;
  result: Promise<ServeResult>;
  onCallerDisconnect: () => void;
}

/** Parts of the daemon that {@link CallService} depends on. */
export interface CallDeps extends SessionDeps {
  daemon: ServeContext['daemon'];
  stopping: () => boolean;
  exitAt: () => number;
  candidates: (service: string) => readonly Candidate[];
  onUnreachable: (candidate: Candidate) => void;
  unavailableTargets: (service: string) => number;
  suspects: Suspects;
  addressOf: (daemon: string) => string | undefined;
  picker: TargetPicker;
  ledger: RetryLedger;
  claims: ClaimService;
  peers: PeerClient;
  decisions: DecisionLog;
  metrics: Metrics;
  answerBytes: number;
}

/** Runs the call procedure for each request and performs its effects. */
export class CallService {
  readonly settler = new KeySettler();
  readonly responses: ResponseStore;
  private readonly _ids: IdGenerator;
  private readonly _retryBuckets = new Map<string, RetryTokenBucket>();
  private readonly _ordinals = new Map<string, Map<string, number>>();
  private readonly _ctx: ServeContext;
  private _classifier: Classifier;
  private _inFlight = 0;

  constructor(
    private readonly _deps: CallDeps,
    private _cfg: Config,
  ) {
    this._ids = new IdGenerator(_deps.daemon.id, _deps.daemon.incarnation);
    this.responses = new ResponseStore(_deps.answerBytes);
    this._classifier = new Classifier(_cfg);
    this._ctx = this._makeContext();
  }

  /** Number of calls that are being served. */
  get inFlight(): number {
    return this._inFlight;
  }

  /** Applies a new configuration. */
  configure(cfg: Config): void {
    this._cfg = cfg;
    this._classifier = new Classifier(cfg);
  }

  /** Opens a namespace for idempotency keys that a caller numbers in sequence, and returns its name. */
  openNamespace(): string {
    const name = this._ids.next().replaceAll('~', '.');
    this.settler.openNamespace(name);
    return name;
  }

  /** Starts to serve a request. A request that fails validation gets an error result at once. */
  accept(req: IncomingRequest): AcceptedRequest {
    const id = this._ids.next();
    const call = this._makeCall(id, req);
    if (typeof call === 'string') {
      this._deps.decisions.add({ request: id, step: 'refuse', cls: 'none', reason: call });
      return { id, result: Promise.resolve(this.refusal(call)), onCallerDisconnect: () => undefined };
    }
    const session = new CallSession(this._deps, req.memory);
    return {
      id,
      result: this._serve(call, session),
      onCallerDisconnect: () => {
        session.onCallerDisconnect();
      },
    };
  }

  /** Result for a request that is refused before any processing. */
  refusal(error: ErrorKind): ServeResult {
    return errorResult(error, errorResponse(error).outcome, errorResponse(error).title);
  }

  /** Releases the claim of a key whose call did not run on this daemon; false if it could not be released. */
  release(key: string): Promise<boolean> {
    const { daemon, claims } = this._deps;
    const { shard } = claims.shardOf(key);
    const release = { key, shard, claimant: `${daemon.id}/${daemon.incarnation}`, address: daemon.address };
    return runProcedure(releaseClaim(release, this.responses), {
      appendClaim: (effect) => claims.append(effect.shard, effect.record),
      readClaims: (effect) => claims.read(effect.shard, effect.upTo),
    });
  }

  private async _serve(call: Call, session: CallSession): Promise<ServeResult> {
    const startedAt = monotonicMs();
    this._inFlight++;
    try {
      const served = await runProcedure(serveCall(call, this._ctx), this._effectHandlers(session));
      this._recordMetrics(call, served, monotonicMs() - startedAt);
      return served;
    } finally {
      this._inFlight--;
    }
  }

  private _recordMetrics(call: Call, served: ServeResult, ms: number): void {
    const resultTag = served.kind === 'answer' ? String(served.answer.status) : served.error;
    const tags = { class: call.cls.name, service: call.cls.service, end: resultTag };
    this._deps.metrics.count('request', tags);
    this._deps.metrics.timing('request.ms', ms, tags);
  }

  private _makeCall(id: string, req: IncomingRequest): Call | ErrorKind {
    const { service, payload } = req;
    if (!this._classifier.hasService(service)) {
      return 'unknown_service';
    }
    const cls = this._classifier.classify(service, payload.method, payload.path.split('?')[0] ?? '/');
    if (!cls) {
      return 'unknown_class';
    }
    const chain = this._chainPositionOf(id, cls, req);
    if (chain.depth > kMaxChainDepth) {
      return 'chain_too_deep';
    }
    const parsed = parseIdempotencyKey(req.key);
    if (parsed.kind === 'bad') {
      return 'bad_key';
    }
    const bodyDigest = parsed.kind !== 'none' || !cls.idempotent ? digestOf(payload.method, service, payload.path, payload.body) : '';
    const key = this._keyOf(parsed, cls, chain);
    return { id, cls, chain, key, bodyDigest, payload, deadline: this._deadline(cls, req) };
  }

  private _deadline(cls: NamedClass, req: IncomingRequest): number {
    const chainRemainingMs = req.chain ? req.chain.deadline - wallMs() : Infinity;
    return monotonicMs() + Math.min(cls.deadlineMs, req.timeoutMs ?? Infinity, chainRemainingMs);
  }

  private _chainPositionOf(id: string, cls: NamedClass, { chain: token, payload }: IncomingRequest): ChainPosition {
    const { daemon } = this._deps;
    if (!token) {
      return {
        root: id,
        importance: importanceIndex(cls.importance),
        cohort: cohortOf(hash32(id)),
        depth: 0,
        rootDaemon: daemon.id,
        rootAddress: daemon.address,
        rootIncarnation: daemon.incarnation,
        repeatable: false,
        path: '',
      };
    }
    const { root, importance, cohort, depth, rootDaemon, rootAddress, repeatable, entry } = token;
    const rootIncarnation = Number(token.rootIncarnation);
    const path = repeatable ? this._chainPathOf(token, cls, payload) : '';
    return { root, parent: entry, importance, cohort, depth: depth + 1, rootDaemon, rootAddress, rootIncarnation, repeatable, path };
  }

  private _keyOf(parsed: ParsedKey, cls: NamedClass, chain: ChainPosition): CallKey {
    switch (parsed.kind) {
      case 'own':
        return { kind: 'own', key: digestOf('own', cls.service, parsed.text) };
      case 'minted': {
        const { owner, incarnation, namespace, sequence } = parsed;
        return { kind: 'minted', owner, incarnation, key: `${namespace}/${sequence}`, address: this._deps.addressOf(owner) ?? '' };
      }
      case 'none':
      case 'bad':
        break;
    }
    if (cls.idempotent || !chain.repeatable || chain.parent === undefined) {
      return { kind: 'none' };
    }
    return { kind: 'derived', key: digestOf('derived', chain.root, chain.path) };
  }

  /** Identifies a call within its chain by its parent, its content, and its ordinal among equal calls of that parent. */
  private _chainPathOf(token: ChainToken, cls: NamedClass, payload: Payload): string {
    const call = `${cls.name} ${payload.method} ${payload.path} ${hashBytes64(payload.body)}`;
    return hash64(`${token.path}/${call}/${this._nextOrdinal(token.entry, call)}`);
  }

  /**
   * Numbers equal calls of one parent. Two equal calls of one parent get different keys, but a retried parent starts again at 0, so its
   * first call gets the same key as before.
   */
  private _nextOrdinal(parent: string, call: string): number {
    const counts = this._ordinals.get(parent) ?? new Map<string, number>();
    const ordinal = counts.get(call) ?? 0;
    counts.set(call, ordinal + 1);
    this._ordinals.set(parent, counts);
    for (const parentEntry of this._ordinals.keys()) {
      if (this._deps.ledger.has(parentEntry)) {
        break;
      }
      this._ordinals.delete(parentEntry);
    }
    return ordinal;
  }

  private _effectHandlers(session: CallSession): EffectHandlers {
    const { claims, peers } = this._deps;
    return {
      offer: (effect) => session.offer(effect),
      awaitEvent: ({ until }) => session.awaitEvent(until),
      cancel: (effect) => session.cancel(effect),
      relayClaim: ({ to, shard, record }) => peers.relayClaim(to, shard, record),
      appendClaim: ({ shard, record }) => claims.append(shard, record),
      readClaims: ({ shard, upTo }) => claims.read(shard, upTo),
      settleKey: ({ to, bid, incarnation, root }) => peers.settleKey(to, bid, incarnation, root ?? ''),
      fetchAnswer: ({ address, claimant, key, body, until }) =>
        peers.fetchAnswer(address, { key, body, claimant, waitMs: until - monotonicMs() }),
      joinRunning: ({ key, until }) => this.joinRunning(key, until),
    };
  }

  /** Waits until `until` on the monotonic clock for the running call of a key; undefined if it is abandoned or still runs then. */
  joinRunning(key: string, until: number): Promise<ServeResult | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => {
          stop();
          resolve(undefined);
        },
        Math.max(0, until - monotonicMs()),
      );
      const stop = this.responses.wait(key, (served) => {
        clearTimeout(timer);
        resolve(served);
      });
    });
  }

  private _makeContext(): ServeContext {
    const { daemon, stopping, exitAt, candidates, onUnreachable, unavailableTargets, suspects, picker, ledger, claims, decisions } =
      this._deps;
    return {
      daemon,
      stopping,
      exitAt,
      candidates,
      onUnreachable,
      unavailableTargets,
      suspects,
      picker,
      ledger,
      rootFilter: new RootFilter(() => this._cfg.overload.favour),
      retryBucket: (service) => this._retryBucketOf(service),
      responses: this.responses,
      settler: this.settler,
      claimShard: (key) => claims.shardOf(key),
      newId: () => this._ids.next(),
      logDecision: (decision) => {
        decisions.add(decision);
      },
    };
  }

  private _retryBucketOf(service: string): RetryTokenBucket {
    let bucket = this._retryBuckets.get(service);
    if (!bucket) {
      bucket = new RetryTokenBucket(() => this._cfg.retryRatio);
      this._retryBuckets.set(service, bucket);
    }
    return bucket;
  }
}
