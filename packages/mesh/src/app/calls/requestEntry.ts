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
  monotonicMs,
  type RequestWorkspace,
  RootAdmission,
  type RoutingTables,
  type TokenResponse,
  type TokenRequest,
} from '@gentiandrum/core';
import type { Route } from '@gentiandrum/protocol';
import type { ChainControl } from '../load/chainControl.js';
import type { QuotaService } from '../workspaces/quotaService.js';

/** Daemon services that the request entry depends on. */
export interface RequestEntryDeps {
  tables(): RoutingTables | undefined;
  /** Time until which keys may be checked against the current configuration, on the monotonic clock. */
  validUntil(): number;
  quotas: QuotaService;
  chains: ChainModel;
  chainControl: ChainControl;
}

/** A request whose admission is pending. */
export interface PendingEntry {
  /** Discards the decision, because the caller has disconnected. */
  cancel(): void;
}

/** Request admission of one daemon. */
export class RequestEntry {
  private readonly _admission = new RootAdmission();
  private readonly _environment: AdmitContext;

  constructor(private readonly _deps: RequestEntryDeps) {
    this._environment = {
      tables: () => _deps.tables(),
      validUntil: () => _deps.validUntil(),
      now: monotonicMs,
      takeToken: (workspace, limits) => _deps.quotas.take(workspace, limits),
      shouldShed: (route, rank, keyed) => this._shouldShed(route, rank, keyed),
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
      this._deps.quotas.returnToken(workspace.name, workspace.token.host);
    }
  }

  private _isExternal(route: Route, keyed: boolean): boolean {
    return keyed || this._deps.chains.isInternal(route.name) === false;
  }

  /** Sheds external requests only. */
  private _shouldShed(route: Route, rank: number, keyed: boolean): boolean {
    const { chains } = this._deps;
    return this._isExternal(route, keyed) && !this._admission.admits(rank, chains.level(route.name), Math.random(), monotonicMs());
  }
}
