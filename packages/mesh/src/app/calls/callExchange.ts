/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * One request of a caller, from its last byte to its final answer: drives the routing procedure, and ends it at the deadline
 * or when the caller is gone.
 */

import {
  type Assessment,
  type ChainModel,
  type GateReport,
  monotonicMs,
  type Offer,
  type PlacedCallResult,
  type PlacedRoute,
  type CallResult,
  type RequestWorkspace,
  type RouteResult,
  foundNoTarget,
  routeRequest,
  mayProbe,
  type Suspects,
  type TargetRecord,
  chooseProbeTarget,
  type Verdict,
} from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import type { PeerCall } from '../../client/callCodec.js';
import type { Deadlines, Due } from './deadlines.js';
import { identityOf } from './requestIdentity.js';
import type { OfferDone, OfferHandle } from './targetGate.js';

/** Time that an answer needs on its way back, in milliseconds; an offer with less left is not made. */
const kUsefulMs = 5;
/** Share of the latency target that a caller's own request may wait at a gate before it is refused instead. */
const kWaitShare = 0.2;
/** The same for a call of a target: refused, it would cost the work above it, so it may wait longer. */
const kInnerWaitShare = 0.5;

/** Share of the time that is left for which a suspect may wait at a gate. */
const kSuspectWaitShare = 0.5;

const kNoOffers: readonly FailedOffer[] = [];

/** What an exchange uses of its daemon. */
export interface ExchangeDeps {
  candidates(service: string): readonly TargetRecord[];
  /** Targets of a service that take no connections now. */
  unreachable(service: string): number;
  choose(candidates: readonly TargetRecord[], excluded: ReadonlySet<string>, route: PlacedRoute): TargetRecord | undefined;
  offer(target: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle;
  chains: ChainModel;
  suspects: Pick<Suspects, 'assess' | 'msSinceUpdate'>;
  deadlines: Deadlines;
  sent(target: TargetRecord, first: boolean): void;
  ended(host: string, route: string, end: PlacedCallResult): void;
  /** A host's gate has no target to offer: others come first for a while. */
  avoid(host: string): void;
}

/** A request as the server hands it over. */
export interface RoutedRequest {
  route: Route;
  service: string;
  callerService: string;
  requestId: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
  /** Rank under overload, 0 the most urgent. */
  rank: number;
  /** Whose request it is, and until when its key may be relied on, on the monotonic clock. */
  workspace: Pick<RequestWorkspace, 'name' | 'keyHash' | 'version' | 'validUntil'> | undefined;
  /** Time at which nobody waits any more, on the monotonic clock. */
  deadline: number;
}

/** An offer that brought no success: where it went, how it ended, and the load that the gate there reported with its end. */
export interface FailedOffer {
  host: string;
  end: string;
  ms: number;
  inFlight: number;
  queued: number;
  limit: number;
}

/** Final answer, or that time ran out before one came. */
export type ExchangeEnd = RouteResult | { kind: 'timed_out' };

/** One request under way. */
export class CallExchange implements Due {
  private readonly _procedure: Generator<Offer, RouteResult, CallResult>;
  private readonly _takenAt = monotonicMs();
  private _handle: OfferHandle | undefined;
  private _offers = 0;
  private _failed: FailedOffer[] | undefined;
  /** What is held against the request's kind, as of the latest offer. */
  private _assessed: Assessment | undefined;
  private _target = '';
  private _ended = false;

  constructor(
    private readonly _req: RoutedRequest,
    private readonly _deps: ExchangeDeps,
    private readonly _done: (end: ExchangeEnd) => void,
  ) {
    this._procedure = routeRequest(_req.route, {
      choose: (excluded) => this._choose(excluded),
      verdict: () => this._verdict(),
      mayProbe: () => this._mayTry(),
      remainingMs: () => this._remainingMs(),
      minUsefulMs: () => kUsefulMs,
    });
  }

  /** Offers made so far. */
  get offers(): number {
    return this._offers;
  }

  /** Host of the target that the latest offer went to; empty before the first. */
  get target(): string {
    return this._target;
  }

  /** Offers that brought no success, in their order. */
  get failed(): readonly FailedOffer[] {
    return this._failed ?? kNoOffers;
  }

  /** Time since the request was taken, in milliseconds. */
  get ageMs(): number {
    return monotonicMs() - this._takenAt;
  }

  /** Time at which nobody waits any more, on the monotonic clock. */
  get deadline(): number {
    return this._req.deadline;
  }

  /** Begins. */
  start(): void {
    this._deps.deadlines.add(this);
    this._advance(this._procedure.next());
  }

  /** The caller is gone: nobody wants the answer. */
  abandon(): void {
    this._end();
    this._handle?.cancel();
  }

  /** Looked at once for each offer: what the offer needs of it beyond the verdict is kept until it is made. */
  private _verdict(): Verdict {
    this._assessed = this._deps.suspects.assess(() => identityOf(this._req));
    return this._assessed?.verdict ?? 'clear';
  }

  private _mayTry(): boolean {
    const { service } = this._req;
    const targets = { ready: this._deps.candidates(service).length, unreachable: this._deps.unreachable(service) };
    return mayProbe(targets, this._deps.suspects.msSinceUpdate(this._assessed?.suspicion.fingerprint ?? ''));
  }

  /** A suspect goes where all daemons send its kind, so that its copies meet at one gate. */
  private _choose(excluded: ReadonlySet<string>): TargetRecord | undefined {
    const { route, service } = this._req;
    const candidates = this._deps.candidates(service);
    if (this._assessed && this._assessed.verdict !== 'clear') {
      return chooseProbeTarget(this._assessed.suspicion.fingerprint, candidates, excluded);
    }
    return this._deps.choose(candidates, excluded, route);
  }

  private _remainingMs(): number {
    return this._req.deadline - monotonicMs();
  }

  private _advance(step: IteratorResult<Offer, RouteResult>): void {
    if (this._ended) {
      return;
    }
    if (step.done === true) {
      this._end();
      this._done(step.value);
      return;
    }
    this._make(step.value);
  }

  private _make(offer: Offer): void {
    const { target } = offer;
    const sentAt = monotonicMs();
    this._offers++;
    this._target = target.host;
    this._deps.sent(target, this._offers === 1);
    const progress = { settled: false };
    const handle = this._deps.offer(target, this._callFor(offer), (end, report) => {
      progress.settled = true;
      this._note(target, end, report, monotonicMs() - sentAt);
      if (!this._ended) {
        this._advance(this._procedure.next(end));
      }
    });
    if (!progress.settled) {
      this._handle = handle;
    }
  }

  private _note(target: TargetRecord, end: CallResult, report: GateReport, tookMs: number): void {
    const answered = end.kind === 'answered';
    this._remember(target, end, report, tookMs);
    const failed = end.kind === 'lost' ? end.reason !== 'cancelled' : answered && end.answer.status >= 500;
    // A gate that takes nothing, or is another host's by now, says nothing of the target that was meant, and must not look empty.
    const vain = foundNoTarget(end);
    const load = report.limit > 0 && !vain ? report : undefined;
    if (vain) {
      this._deps.avoid(target.host);
    }
    if (load) {
      this._deps.chains.recordReport(this._req.route.name, target.host, load);
    }
    this._deps.ended(target.host, this._req.route.name, {
      load,
      tookMs: answered && !failed ? tookMs : undefined,
      bytes: answered ? this._req.body.length + end.answer.body.length : undefined,
      failed,
    });
  }

  private _remember({ host }: TargetRecord, end: CallResult, { inFlight, queued, limit }: GateReport, tookMs: number): void {
    if (end.kind === 'answered' && end.answer.status < 500) {
      return;
    }
    const text = end.kind === 'answered' ? `status ${end.answer.status}` : `${end.kind}: ${end.reason}`;
    this._failed ??= [];
    this._failed.push({ host, end: text, ms: Math.round(tookMs), inFlight, queued, limit });
  }

  private _callFor({ target, repeat, suspect }: Offer): PeerCall {
    const { route, callerService, requestId, method, path, headers, body, rank, workspace } = this._req;
    const remainingMs = Math.max(1, this._remainingMs());
    const inner = !workspace && this._deps.chains.isInternal(route.name) === true;
    return {
      route: route.name,
      service: target.service,
      // A suspect waits for the others of its kind: late is better than not at all.
      waitMs: suspect
        ? remainingMs * kSuspectWaitShare
        : Math.max(0, route.latencyTargetMs * (inner ? kInnerWaitShare : kWaitShare) - this.ageMs),
      remainingMs: Math.floor(remainingMs),
      repeat,
      inner,
      idempotent: route.idempotent,
      rank: inner ? undefined : rank,
      instance: target.instance,
      callerService,
      suspicion: suspect ? this._assessed?.suspicion : undefined,
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

  /** The target ends its work by itself at its deadline; only what has not started is withdrawn. */
  expire(): void {
    const handle = this._handle;
    this._end();
    if (this._req.route.idempotent) {
      handle?.cancel();
    }
    this._done({ kind: 'timed_out' });
  }

  private _end(): void {
    this._ended = true;
    this._deps.deadlines.delete(this);
    this._procedure.return({ kind: 'lost', reason: 'ended early' });
  }
}
