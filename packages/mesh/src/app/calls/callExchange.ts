/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Forwards one caller request: runs the routing procedure from the last byte of the request to the final response, and ends it at
 * the deadline or when the caller disconnects.
 */

import {
  type Assessment,
  bodyBytes,
  type ChainModel,
  type GateReport,
  type MemoryLease,
  monotonicMs,
  type Offer,
  type PlacedCallResult,
  type PlacedRoute,
  type CallResult,
  type RouteResult,
  foundNoTarget,
  routeRequest,
  type Suspects,
  type TargetRecord,
  chooseProbeTarget,
  targetsForSuspect,
  type Verdict,
} from '@gentiandrum/core';
import type { PeerCall } from '../../client/callCodec.js';
import type { Deadlines, Expirable } from './deadlines.js';
import { identityOf } from './requestIdentity.js';
import type { FailedOffer, RoutedRequest } from './routedRequest.js';
import type { OfferDone, OfferHandle } from './offeredCall.js';

/** Minimum time left before the deadline to make an offer, in milliseconds; covers the transfer of the response. */
const kMinRemainingMs = 5;
/** Share of the latency target that an external request may spend in a gate's queue before the gate refuses it. */
const kExternalWaitShare = 0.2;
/**
 * Share of the latency target that an internal call may spend in a gate's queue before the gate refuses it; higher than the external
 * share, because a refusal discards the work of all its callers.
 */
const kInternalWaitShare = 0.5;

/** Share of the remaining time that a suspect may wait at a gate. */
const kSuspectWaitShare = 0.5;

const kNoFailedOffers: readonly FailedOffer[] = [];

/** Daemon services that an exchange depends on. */
export interface ExchangeDeps {
  candidates(service: string): readonly TargetRecord[];
  /** Number of targets of a service that currently accept no connections. */
  unreachable(service: string): number;
  choose(candidates: readonly TargetRecord[], excluded: ReadonlySet<string>, route: PlacedRoute): TargetRecord | undefined;
  offer(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle;
  chains: ChainModel;
  suspects: Pick<Suspects, 'assess'>;
  deadlines: Deadlines;
  /** Called before each offer; `first` for the first one of the request. */
  onOfferSent(target: TargetRecord, first: boolean): void;
  onOfferResult(host: string, route: string, result: PlacedCallResult): void;
  /** Called when a host's gate has no target to run the call; routing then prefers other hosts for a while. */
  deprioritize(host: string): void;
}

/** Result of the routing procedure, or `timed_out` when the deadline passed before there was one. */
export type ExchangeResult = RouteResult | { kind: 'timed_out' };

/** A request in flight. */
export class CallExchange implements Expirable {
  private readonly _procedure: Generator<Offer, RouteResult, CallResult>;
  private readonly _receivedAt = monotonicMs();
  private _handle: OfferHandle | undefined;
  private _offers = 0;
  private _failed: FailedOffer[] | undefined;
  /** Quarantine assessment of the request's fingerprint, as of the latest offer. */
  private _assessment: Assessment | undefined;
  private _target = '';
  private _finished = false;
  private _openOffers = 0;
  /** Memory of the responses received so far. */
  private _responseMemory: MemoryLease[] | undefined;

  constructor(
    private readonly _req: RoutedRequest,
    private readonly _deps: ExchangeDeps,
    private readonly _done: (result: ExchangeResult) => void,
  ) {
    this._procedure = routeRequest(_req.route, {
      choose: (excluded) => this._choose(excluded),
      verdict: () => this._verdict(),
      maySendSuspect: () => this._maySendSuspect(),
      remainingMs: () => this._remainingMs(),
      minUsefulMs: () => kMinRemainingMs,
    });
  }

  /** Number of offers made so far. */
  get offers(): number {
    return this._offers;
  }

  /** Host of the target that received the latest offer; empty before the first offer. */
  get target(): string {
    return this._target;
  }

  /** Unsuccessful offers, in order. */
  get failed(): readonly FailedOffer[] {
    return this._failed ?? kNoFailedOffers;
  }

  /** Time since the request was received, in milliseconds. */
  get ageMs(): number {
    return monotonicMs() - this._receivedAt;
  }

  /** Deadline of the request, on the monotonic clock. */
  get deadline(): number {
    return this._req.deadline;
  }

  /** Makes the first offer. */
  start(): void {
    this._deps.deadlines.add(this);
    this._advance(this._procedure.next());
  }

  /** Ends the exchange because the caller has disconnected, and cancels the current offer. */
  abandon(): void {
    this._finish();
    this._handle?.cancel();
    this._releaseMemory();
  }

  /** Assesses the request once per offer; the assessment is kept for the target choice and the call. */
  private _verdict(): Verdict {
    this._assessment = this._deps.suspects.assess(() => identityOf(this._req));
    return this._assessment?.verdict ?? 'clear';
  }

  private _maySendSuspect(): boolean {
    return this._targetsForSuspect().length > 0 || this._deps.candidates(this._req.service).length === 0;
  }

  /** All daemons send suspects with the same fingerprint to the same target, so that one gate serializes them. */
  private _choose(excluded: ReadonlySet<string>): TargetRecord | undefined {
    const { service } = this._req;
    if (this._assessment && this._assessment.verdict !== 'clear') {
      return chooseProbeTarget(this._assessment.suspicion.fingerprint, this._targetsForSuspect(), excluded);
    }
    return this._deps.choose(this._deps.candidates(service), excluded, this._placedRoute());
  }

  private _placedRoute(): PlacedRoute {
    const { route, chain } = this._req;
    if (chain.kind !== 'known' || !chain.need) {
      return route;
    }
    const { afterMs, gatesAfter } = chain.need;
    const { name, latencyTargetMs } = route;
    return { name, latencyTargetMs, chain: { budgetMs: this._remainingMs() - afterMs, gatesAfter } };
  }

  private _targetsForSuspect(): readonly TargetRecord[] {
    const { service } = this._req;
    const candidates = this._deps.candidates(service);
    return this._assessment ? targetsForSuspect(this._assessment, candidates, this._deps.unreachable(service)) : candidates;
  }

  private _remainingMs(): number {
    return this._req.deadline - monotonicMs();
  }

  private _advance(step: IteratorResult<Offer, RouteResult>): void {
    if (this._finished) {
      return;
    }
    if (step.done === true) {
      this._releaseResponses(step.value.kind === 'answered' ? step.value.answer.memory : undefined);
      this._finish();
      this._releaseMemory();
      this._done(step.value);
      return;
    }
    this._sendOffer(step.value);
  }

  private _sendOffer(offer: Offer): void {
    const { target } = offer;
    const sentAt = monotonicMs();
    this._offers++;
    this._target = target.host;
    this._deps.onOfferSent(target, this._offers === 1);
    const progress = { settled: false };
    this._openOffers++;
    const handle = this._deps.offer(target, this._toPeerCall(offer), (result, report) => {
      progress.settled = true;
      this._openOffers--;
      this._recordResult(target, result, report, monotonicMs() - sentAt);
      this._keepMemory(result);
      if (!this._finished) {
        this._advance(this._procedure.next(result));
      } else {
        this._releaseMemory();
      }
    });
    if (!progress.settled) {
      this._handle = handle;
    }
  }

  private _recordResult(target: TargetRecord, result: CallResult, report: GateReport, tookMs: number): void {
    const answered = result.kind === 'answered';
    this._recordFailure(target, result, report, tookMs);
    const failed = result.kind === 'lost' ? result.reason !== 'cancelled' : answered && result.answer.status >= 500;
    // A gate that refuses everything, or belongs to another host by now, reports no load of the intended target. Its report must not
    // make the target look idle.
    const unsuccessful = foundNoTarget(result);
    const load = report.limit > 0 && !unsuccessful ? report : undefined;
    if (unsuccessful) {
      this._deps.deprioritize(target.host);
    }
    if (load) {
      this._deps.chains.recordReport(this._req.route.name, target.host, load);
    }
    this._deps.onOfferResult(target.host, this._req.route.name, {
      load,
      tookMs: answered && !failed ? tookMs : undefined,
      bytes: answered ? bodyBytes(this._req.body) + bodyBytes(result.answer.body) : undefined,
      failed,
    });
  }

  private _recordFailure({ host }: TargetRecord, result: CallResult, { inFlight, queued, limit }: GateReport, tookMs: number): void {
    if (result.kind === 'answered' && result.answer.status < 500) {
      return;
    }
    const text = result.kind === 'answered' ? `status ${result.answer.status}` : `${result.kind}: ${result.reason}`;
    this._failed ??= [];
    this._failed.push({ host, end: text, ms: Math.round(tookMs), inFlight, queued, limit });
  }

  private _toPeerCall({ target, repeat, suspect }: Offer): PeerCall {
    const { route, callerService, requestId, method, path, headers, body, rank, workspace, chain } = this._req;
    const parent = chain.kind === 'known' ? chain : undefined;
    const remainingMs = Math.max(1, this._remainingMs());
    const internal = !workspace && this._deps.chains.isInternal(route.name) === true;
    return {
      route: route.name,
      service: target.service,
      // A suspect has to wait for other suspects with the same fingerprint, so it gets a longer wait.
      waitMs: suspect
        ? remainingMs * kSuspectWaitShare
        : Math.max(0, route.latencyTargetMs * (internal ? kInternalWaitShare : kExternalWaitShare) - this.ageMs),
      remainingMs: Math.floor(remainingMs),
      repeat,
      inner: internal,
      idempotent: route.idempotent,
      rank: internal ? parent?.rank : rank,
      chain: parent?.need,
      instance: target.instance,
      callerService,
      suspicion: suspect ? this._assessment?.suspicion : undefined,
      requestId,
      method,
      path,
      headers,
      body,
      workspace: workspace && {
        name: workspace.name,
        keyHash: workspace.keyHash,
        version: workspace.version,
        validMs: Math.max(0, workspace.validUntil - monotonicMs()),
      },
    };
  }

  /** Cancels the current offer of an idempotent request. Other calls stay at the gate until their own deadline. */
  expire(): void {
    const handle = this._handle;
    this._finish();
    if (this._req.route.idempotent) {
      handle?.cancel();
    }
    this._releaseMemory();
    this._done({ kind: 'timed_out' });
  }

  private _keepMemory(result: CallResult): void {
    if (result.kind === 'answered' && result.answer.memory) {
      this._responseMemory ??= [];
      this._responseMemory.push(result.answer.memory);
    }
  }

  /** Releases the memory of all responses but the final one. */
  private _releaseResponses(final?: MemoryLease): void {
    this._responseMemory?.forEach((memory) => {
      if (memory !== final) {
        memory.release();
      }
    });
    this._responseMemory = undefined;
  }

  /** Releases what the finished request held; its body is needed while an offer is under way. */
  private _releaseMemory(): void {
    this._releaseResponses();
    if (this._openOffers === 0) {
      this._req.memory?.release();
    }
  }

  private _finish(): void {
    this._finished = true;
    this._deps.deadlines.delete(this);
    if (this._req.chain.kind === 'known') {
      this._req.chain.ended();
    }
    this._procedure.return({ kind: 'lost', reason: 'ended early' });
  }
}
