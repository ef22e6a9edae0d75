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
  type RequestWorkspace,
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
  quotas: QuotaService;
  chains: ChainModel;
  chainControl: ChainControl;
  load: Pick<LoadSettings, 'fairShares'>;
  metrics: Pick<MeshMetrics, 'fairShareShed'>;
}

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
  private readonly _environment: AdmitContext;

  constructor(private readonly _deps: RequestEntryDeps) {
    this._fairShares = _deps.load.fairShares ? new FairShares() : undefined;
    this._environment = {
      tables: () => _deps.tables(),
      validUntil: () => _deps.validUntil(),
      now: monotonicMs,
      takeToken: (workspace, limits) => _deps.quotas.take(workspace, limits),
      shouldShed: (route, rank, workspace) => this._shouldShed(route, rank, workspace),
      canEndInTime: (route, remainingMs, keyed) =>
        !this._isExternal(route, keyed) || _deps.chainControl.canEndInTime(route.name, remainingMs),
    };
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
