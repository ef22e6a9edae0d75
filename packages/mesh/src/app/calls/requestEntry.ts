/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Takes requests through the procedure that lets them in or refuses them, and carries its questions to the owners of quotas. */

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
import type { QuotaService } from '../workspaces/quotaService.js';

/** What the entry uses of its daemon. */
export interface RequestEntryDeps {
  tables(): RoutingTables | undefined;
  /** Until when the configuration may be relied on for keys, on the monotonic clock. */
  validUntil(): number;
  quotas: QuotaService;
  chains: ChainModel;
}

/** A request on its way in. */
export interface Entering {
  /** The caller is gone: nobody wants the decision any more. */
  leave(): void;
}

/** Entry of one daemon. */
export class RequestEntry {
  private readonly _admission = new RootAdmission();
  private readonly _around: AdmitContext;

  constructor(private readonly _deps: RequestEntryDeps) {
    this._around = {
      tables: () => _deps.tables(),
      validUntil: () => _deps.validUntil(),
      now: monotonicMs,
      takeToken: (workspace, limits) => _deps.quotas.take(workspace, limits),
      shouldShed: (route, rank, keyed) => this._sheds(route, rank, keyed),
    };
  }

  /** Decides on a request; `done` may be called before this returns, and is not called once the caller has left. */
  enter(req: EntryRequest, done: (end: EntryResult) => void): Entering {
    const procedure = admitRequest(req, this._around);
    const progress = { left: false };
    const advance = (step: IteratorResult<TokenRequest, EntryResult>): void => {
      if (step.done !== true) {
        this._deps.quotas.ask(step.value, (answer: TokenResponse) => {
          advance(procedure.next(answer));
        });
        return;
      }
      const end = step.value;
      if (end.kind === 'shed' || (end.kind === 'admitted' && progress.left)) {
        this.notRun(end.workspace);
      }
      if (!progress.left) {
        done(end);
      }
    };
    advance(procedure.next());
    return {
      leave: () => {
        progress.left = true;
      },
    };
  }

  /** The request of a workspace has not run: its token serves another one. */
  notRun(workspace: RequestWorkspace | undefined): void {
    if (workspace?.token) {
      this._deps.quotas.giveBack(workspace.name, workspace.token.host);
    }
  }

  /** Only what is known to come from people is turned away here. */
  private _sheds(route: Route, rank: number, keyed: boolean): boolean {
    const { chains } = this._deps;
    const fromPeople = keyed || chains.isInternal(route.name) === false;
    return fromPeople && !this._admission.admits(rank, chains.level(route.name), Math.random(), monotonicMs());
  }
}
