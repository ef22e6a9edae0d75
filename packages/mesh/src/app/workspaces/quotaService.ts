/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests quota tokens from the daemons that own them, grants tokens to other daemons, and returns unused ones. */

import {
  type GrantResult,
  kReturnableShare,
  monotonicMs,
  QuotaClient,
  type QuotaResult,
  type QuotaLimits,
  type QuotaMembers,
  QuotaOwner,
  type TokenResponse,
  type TokenRequest,
  type WorkspaceTable,
} from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { PeerMessage } from '../../client/peerMessages.js';
import type { EventLog } from '../eventLog.js';

/** Timeout for the response of an owner, in milliseconds: some tens of round trips, and well below the latency targets of callers. */
const kOwnerTimeoutMs = 100;

/** Tolerated wall clock difference between two starts on one host, in milliseconds. */
const kWindowMarginMs = 1_000;

/** Daemon services that the quota service depends on. */
export interface QuotaServiceDeps {
  settings: MeshSettings;
  members: QuotaMembers;
  /** Whether all hosts are known; unknown hosts would make the shares of the others too large. */
  allHostsKnown(): boolean;
  tables(): { version: number; workspaces: WorkspaceTable } | undefined;
  /** Sends to a host; opens a link if there is none. */
  sendTo(host: string, message: PeerMessage): void;
  events: EventLog;
}

interface PendingRequest {
  host: string;
  workspace: string;
  expiresAt: number;
  done: (response: TokenResponse) => void;
}

/** Tokens to be returned to one host, by workspace. */
interface ReturnBatch {
  counts: Map<string, number>;
  /** Time before the earliest request of these tokens. */
  since: number;
}

/** Token counts since the start. */
export interface QuotaCounts {
  granted: number;
  denied: number;
  returned: number;
  unanswered: number;
}

/** Quota tokens of one daemon: those that it requests, and those that it grants as an owner. */
export class QuotaService {
  readonly counts: QuotaCounts = { granted: 0, denied: 0, returned: 0, unanswered: 0 };
  private readonly _requester: QuotaClient;
  private readonly _owner: QuotaOwner;
  private readonly _pending = new Map<number, PendingRequest>();
  private _nextId = 1;
  private _timer: NodeJS.Timeout | undefined;
  /** Tokens to be returned at the next check, by host. */
  private readonly _returned = new Map<string, ReturnBatch>();
  private _revision: number;

  constructor(private readonly _deps: QuotaServiceDeps) {
    const { settings, members } = _deps;
    this._requester = new QuotaClient({ host: settings.id, zone: settings.zone }, members, settings.quotas, monotonicMs);
    this._owner = new QuotaOwner(settings.quotas, monotonicMs(), settings.load.windowQuotas ? 'window' : 'bucket');
    this._revision = members.revision;
  }

  /** Number of workspaces that this daemon has a token bucket for. */
  get buckets(): number {
    return this._owner.size;
  }

  /** Procedure that takes a token; the caller passes each yielded request to {@link request}. */
  take(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaResult, TokenResponse> {
    return this._requester.take(workspace, limits);
  }

  /** Requests a token from the owner of a share. `done` may be called before this returns. */
  request({ workspace, share }: TokenRequest, done: (response: TokenResponse) => void): void {
    if (share.host === this._deps.settings.id) {
      done(this._grant(workspace));
      return;
    }
    const id = this._nextId++;
    this._pending.set(id, { host: share.host, workspace, expiresAt: monotonicMs() + kOwnerTimeoutMs, done });
    this._scheduleExpiry();
    this._deps.sendTo(share.host, { type: 'token_wanted', id, workspace });
  }

  /** Returns a token to its owner, because its request did not run; `requestedAt` is the monotonic time before the token was requested. */
  returnToken(workspace: string, host: string, requestedAt: number): void {
    if (!this._isReturnable(requestedAt)) {
      return;
    }
    this.counts.returned++;
    if (host === this._deps.settings.id) {
      this._owner.returnTokens(workspace, 1, monotonicMs(), monotonicMs() - requestedAt);
      return;
    }
    const batch = this._returned.get(host) ?? { counts: new Map<string, number>(), since: requestedAt };
    batch.since = Math.min(batch.since, requestedAt);
    batch.counts.set(workspace, (batch.counts.get(workspace) ?? 0) + 1);
    this._returned.set(host, batch);
  }

  /** Response to the token request of another daemon. */
  replyTo(id: number, workspace: string): PeerMessage {
    return { type: 'token', id, workspace, result: this._grant(workspace) };
  }

  /** Handles the response of an owner; returns the token of a grant that arrives after the timeout, whose age is not known. */
  receiveGrant(host: string, workspace: string, id: number, result: GrantResult): void {
    const pending = this._pending.get(id);
    if (pending) {
      this._pending.delete(id);
      pending.done(result);
    } else if (result !== 'not_owner' && result.granted) {
      this.returnToken(workspace, host, -Infinity);
    }
  }

  /** Accepts tokens that another daemon returns. */
  acceptReturned(tokens: Readonly<Record<string, number>>, ageMs?: number): void {
    for (const [workspace, count] of Object.entries(tokens)) {
      this._owner.returnTokens(workspace, count, monotonicMs(), ageMs);
    }
  }

  /** Records whether a host is reachable; pending requests to an unreachable host fail at once. */
  setReachable(host: string, reachable: boolean): void {
    this._requester.setReachable(host, reachable);
    if (!reachable) {
      for (const [id, pending] of this._pending) {
        if (pending.host === host) {
          this._failPending(id, pending);
        }
      }
    }
  }

  /**
   * Sets the initial tokens of this daemon's shares. They start with their reserve, unless the previous daemon on this host may have used
   * it within the same window, and full at the initial start of the deployment.
   *
   * @param elapsedMs time since the start of the previous daemon, in milliseconds; infinite without one
   */
  recordPredecessor(elapsedMs: number): void {
    const { quotas, log } = this._deps.settings;
    if (log.firstStart && elapsedMs === Infinity) {
      this._owner.startFull();
    } else if (elapsedMs > quotas.windowSeconds * 1_000 + kWindowMarginMs) {
      this._owner.startWithReserve();
    }
  }

  /** Applies changes of the members, and returns unused tokens; called several times per second. */
  check(): void {
    this._updateMembers();
    for (const [host, { counts, since }] of this._returned) {
      if (this._isReturnable(since)) {
        const age = this._deps.settings.load.windowQuotas ? { ageMs: Math.ceil(monotonicMs() - since) } : {};
        this._deps.sendTo(host, { type: 'tokens_back', tokens: Object.fromEntries(counts), ...age });
      }
    }
    this._returned.clear();
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this._timer);
  }

  /** Whether the owner can still place a return in its window; a bucket accepts returns of any age. */
  private _isReturnable(since: number): boolean {
    const { load, quotas } = this._deps.settings;
    return !load.windowQuotas || monotonicMs() - since <= kReturnableShare * quotas.windowSeconds * 1_000;
  }

  private _updateMembers(): void {
    if (this._revision !== this._deps.members.revision) {
      this._revision = this._deps.members.revision;
      this._owner.membersChanged(monotonicMs());
    }
  }

  private _grant(workspace: string): GrantResult {
    const tables = this._deps.tables();
    const config = tables?.workspaces.get(workspace);
    if (!tables || !config || !this._deps.allHostsKnown()) {
      return 'not_owner';
    }
    const { ratePerSecond, burst } = config;
    if (ratePerSecond === undefined) {
      return { granted: true };
    }
    this._updateMembers();
    const limits = { ratePerSecond, burst };
    const share = this._requester.shareOf(workspace, limits, this._deps.settings.id);
    const result = this._owner.take(workspace, share, limits, tables.version, monotonicMs());
    if (result !== 'not_owner') {
      this.counts[result.granted ? 'granted' : 'denied']++;
    }
    return result;
  }

  private _scheduleExpiry(): void {
    this._timer ??= setTimeout(() => {
      this._timer = undefined;
      this._expire();
      if (this._pending.size > 0) {
        this._scheduleExpiry();
      }
    }, kOwnerTimeoutMs / 2);
  }

  private _expire(): void {
    const now = monotonicMs();
    for (const [id, pending] of this._pending) {
      if (now >= pending.expiresAt) {
        this._failPending(id, pending);
      }
    }
  }

  private _failPending(id: number, { host, done }: PendingRequest): void {
    this._pending.delete(id);
    this.counts.unanswered++;
    this._deps.events.infoLowPriority('workspaces', 'No response from the owner of a quota.', () => ({ peer: host }));
    done('no_answer');
  }
}
