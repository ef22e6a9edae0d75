/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Admits or rejects incoming requests, and forwards token requests to the owners of quotas. */

import {
  type AdmitContext,
  admitRequest,
  type EntryRequest,
  type ChainModel,
  type EntryResult,
  FairShares,
  monotonicMs,
  type RankedRequest,
  type RequestWorkspace,
  type ReturnCounts,
  ReturnPlaces,
  type ReturnsContext,
  type ReturnTime,
  RootAdmission,
  type RoutingTables,
  type TokenResponse,
  type TokenRequest,
  type WorkspaceRate,
} from '@gentiandrum/core';
import type { LoadSettings, Route } from '@gentiandrum/protocol';
import type { ChainControl } from '../load/chainControl.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { QuotaService } from '../workspaces/quotaService.js';

/** Daemon services that the request entry depends on. */
export interface RequestEntryDeps {
  tables(): RoutingTables | undefined;
  /** Time until which keys may be checked against the current configuration, on the monotonic clock. */
  validUntil(): number;
  quotas: Pick<QuotaService, 'take' | 'request' | 'returnToken'>;
  chains: ChainModel;
  chainControl: ChainControl;
  load: Pick<LoadSettings, 'fairShares' | 'returnPlaces'>;
  metrics: Pick<MeshMetrics, 'fairShareShed'>;
}

/** Share of its time left that a caller still has when it returns as late as it would. */
const kLeftOnReturn = 2 / 3;

/** A request whose admission is pending. */
export interface PendingEntry {
  /** Discards the decision, because the caller has disconnected. */
  cancel(): void;
}

/** Request admission of one daemon. */
export class RequestEntry {
  private readonly _admission = new RootAdmission();
  /** Undefined where the shares are not enabled. */
  private readonly _fairShares: FairShares | undefined;
  /** Undefined where no places are kept. */
  private readonly _places: ReturnPlaces | undefined;
  private readonly _environment: AdmitContext;

  constructor(private readonly _deps: RequestEntryDeps) {
    this._fairShares = _deps.load.fairShares ? new FairShares() : undefined;
    this._places = _deps.load.returnPlaces ? new ReturnPlaces() : undefined;
    this._environment = {
      tables: () => _deps.tables(),
      validUntil: () => _deps.validUntil(),
      now: monotonicMs,
      takeToken: (workspace, limits) => _deps.quotas.take(workspace, limits),
      shouldShed: (route, rank, workspace) => this._shouldShed(route, rank, workspace),
      canEndInTime: (route, remainingMs, keyed) =>
        !this._isExternal(route, keyed) || _deps.chainControl.canEndInTime(route.name, remainingMs),
      returns: this._places && this._returnsContext(this._places),
    };
  }

  /** Counts of places for returns; undefined where no places are kept. */
  get returnCounts(): ReturnCounts | undefined {
    return this._places?.counts;
  }

  /** Decides whether to admit a request. `done` may be called before this returns, and is not called after cancellation. */
  enter(req: EntryRequest, done: (result: EntryResult) => void): PendingEntry {
    const procedure = admitRequest(req, this._environment);
    const progress = { cancelled: false };
    const advance = (step: IteratorResult<TokenRequest, EntryResult>): void => {
      if (step.done !== true) {
        this._deps.quotas.request(step.value, (response: TokenResponse) => {
          advance(procedure.next(response));
        });
        return;
      }
      const result = step.value;
      if (result.kind === 'shed' || result.kind === 'too_late' || (result.kind === 'admitted' && progress.cancelled)) {
        this.returnToken(result.workspace);
      }
      if (!progress.cancelled) {
        done(result);
      }
    };
    advance(procedure.next());
    return {
      cancel: () => {
        progress.cancelled = true;
      },
    };
  }

  /** Returns the quota token of a request that has not run. */
  returnToken(workspace: RequestWorkspace | undefined): void {
    if (workspace?.token) {
      this._deps.quotas.returnToken(workspace.name, workspace.token.host, workspace.tokenAt ?? 0);
    }
  }

  private _returnsContext(places: ReturnPlaces): ReturnsContext {
    return {
      takePlace: (req, ranked) => this._takePlace(places, req, ranked),
      returnTime: (req, ranked) => this._returnTime(places, req, ranked),
      recordAdmitted: ({ route, workspace }) => {
        if (this._isExternal(route, workspace !== undefined)) {
          places.admitted(route.name, monotonicMs());
        }
      },
    };
  }

  private _takePlace(places: ReturnPlaces, req: EntryRequest, { route, workspace, rate, rank }: RankedRequest): boolean {
    const now = monotonicMs();
    if (!this._isExternal(route, workspace !== undefined) || !places.returns({ workspace: workspace?.name, identity: req.identity }, now)) {
      return false;
    }
    const level = this._deps.chains.level(route.name);
    this._admission.recordReserved(level, now);
    if (level > 0) {
      this._fairShares?.place(rate, rank, Math.random(), now);
    }
    return true;
  }

  private _returnTime(places: ReturnPlaces, req: EntryRequest, { route, workspace, rank }: RankedRequest): ReturnTime | undefined {
    const level = this._deps.chains.level(route.name);
    const leftMs = Math.min(route.timeoutMs, req.remainingMs * kLeftOnReturn);
    return places.refused(
      { workspace: workspace?.name, identity: req.identity },
      {
        route: route.name,
        level,
        remainingMs: req.remainingMs,
        latencyTargetMs: route.latencyTargetMs,
        preferred: this._admission.admitsSome(rank, level),
        canEndLater: this._deps.chainControl.canEndLater(route.name, leftMs),
      },
      monotonicMs(),
    );
  }

  private _isExternal(route: Route, keyed: boolean): boolean {
    return keyed || this._deps.chains.isInternal(route.name) === false;
  }

  /** Sheds external requests only. */
  private _shouldShed(route: Route, rank: number, workspace: WorkspaceRate | undefined): boolean {
    const { chains } = this._deps;
    if (!this._isExternal(route, workspace !== undefined)) {
      return false;
    }
    const level = chains.level(route.name);
    const now = monotonicMs();
    if (!this._fairShares || !workspace || level <= 0) {
      return !this._admission.admits(rank, level, Math.random(), now);
    }
    const { position, overShare } = this._fairShares.place(workspace, rank, Math.random(), now);
    const admitted = this._admission.admits(rank, level, position, now);
    if (!admitted) {
      this._deps.metrics.fairShareShed(overShare);
    }
    return !admitted;
  }
}
