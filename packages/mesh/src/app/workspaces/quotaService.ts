/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Carries requests for tokens of quotas to the daemons that own them, answers those of others, and gives back what did not run. */

import {
  type GrantResult,
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

/** Time for the answer of an owner, in milliseconds: some tens of round trips, and well below the latency targets of callers. */
const kAnswerMs = 100;

/** Margin by which the wall clocks of two starts on one host may differ, in milliseconds. */
const kWindowMarginMs = 1_000;

/** What the service uses of its daemon. */
export interface QuotaServiceDeps {
  settings: MeshSettings;
  members: QuotaMembers;
  /** Whether all hosts are known: with a part of them unknown, shares would be too large. */
  complete(): boolean;
  tables(): { version: number; workspaces: WorkspaceTable } | undefined;
  /** Sends to a host, over a link that is opened when there is none. */
  sendTo(host: string, message: PeerMessage): void;
  events: EventLog;
}

interface Pending {
  host: string;
  workspace: string;
  expiresAt: number;
  done: (answer: TokenResponse) => void;
}

/** Counts since the start. */
export interface QuotaCounts {
  granted: number;
  denied: number;
  givenBack: number;
  unanswered: number;
}

/** Tokens of one daemon. */
export class QuotaService {
  readonly counts: QuotaCounts = { granted: 0, denied: 0, givenBack: 0, unanswered: 0 };
  private readonly _asker: QuotaClient;
  private readonly _owner: QuotaOwner;
  private readonly _pending = new Map<number, Pending>();
  private _nextId = 1;
  private _timer: NodeJS.Timeout | undefined;
  /** Tokens to be given back, by host and workspace. */
  private readonly _back = new Map<string, Map<string, number>>();
  private _revision: number;

  constructor(private readonly _deps: QuotaServiceDeps) {
    const { settings, members } = _deps;
    this._asker = new QuotaClient({ host: settings.id, zone: settings.zone }, members, settings.quotas, monotonicMs);
    this._owner = new QuotaOwner(settings.quotas, monotonicMs());
    this._revision = members.revision;
  }

  /** Workspaces that this daemon holds a bucket for. */
  get buckets(): number {
    return this._owner.size;
  }

  /** Takes a token; a procedure to be driven with {@link ask}. */
  take(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaResult, TokenResponse> {
    return this._asker.take(workspace, limits);
  }

  /** Asks the owner of a part. The answer may come before this returns. */
  ask({ workspace, share: part }: TokenRequest, done: (answer: TokenResponse) => void): void {
    if (part.host === this._deps.settings.id) {
      done(this._grant(workspace));
      return;
    }
    const id = this._nextId++;
    this._pending.set(id, { host: part.host, workspace, expiresAt: monotonicMs() + kAnswerMs, done });
    this._expireLater();
    this._deps.sendTo(part.host, { type: 'token_wanted', id, workspace });
  }

  /** A request that took a token of an owner did not run. */
  giveBack(workspace: string, host: string): void {
    this.counts.givenBack++;
    if (host === this._deps.settings.id) {
      this._owner.returnTokens(workspace, 1, monotonicMs());
      return;
    }
    const counts = this._back.get(host) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this._back.set(host, counts);
  }

  /** What another daemon is told that wants a token. */
  answerTo(id: number, workspace: string): PeerMessage {
    return { type: 'token', id, workspace, result: this._grant(workspace) };
  }

  /** Takes an owner's answer; a grant that comes too late goes back. */
  answered(host: string, workspace: string, id: number, end: GrantResult): void {
    const pending = this._pending.get(id);
    if (pending) {
      this._pending.delete(id);
      pending.done(end);
    } else if (end !== 'not_owner' && end.granted) {
      this.giveBack(workspace, host);
    }
  }

  /** Another daemon gives tokens back. */
  takeBack(tokens: Readonly<Record<string, number>>): void {
    for (const [workspace, count] of Object.entries(tokens)) {
      this._owner.returnTokens(workspace, count, monotonicMs());
    }
  }

  /** A host can be reached, or can't. */
  reached(host: string, up: boolean): void {
    this._asker.setReachable(host, up);
    if (!up) {
      for (const [id, pending] of this._pending) {
        if (pending.host === host) {
          this._giveUp(id, pending);
        }
      }
    }
  }

  /**
   * Time since the start of the previous daemon on this host, in milliseconds; infinite without one. Parts begin with their reserve, unless
   * that daemon may have used it within the same window, and full in the first start of a deployment.
   */
  notePredecessor(agoMs: number): void {
    const { quotas, log } = this._deps.settings;
    if (log.firstStart && agoMs === Infinity) {
      this._owner.startFull();
    } else if (agoMs > quotas.windowSeconds * 1_000 + kWindowMarginMs) {
      this._owner.startWithReserve();
    }
  }

  /** Gives back what is due; called a few times a second. */
  check(): void {
    this._noteMembers();
    for (const [host, counts] of this._back) {
      this._deps.sendTo(host, { type: 'tokens_back', tokens: Object.fromEntries(counts) });
    }
    this._back.clear();
  }

  /** Ends timers. */
  close(): void {
    clearTimeout(this._timer);
  }

  private _noteMembers(): void {
    if (this._revision !== this._deps.members.revision) {
      this._revision = this._deps.members.revision;
      this._owner.membersChanged(monotonicMs());
    }
  }

  private _grant(workspace: string): GrantResult {
    const tables = this._deps.tables();
    const held = tables?.workspaces.get(workspace);
    if (!tables || !held || !this._deps.complete()) {
      return 'not_owner';
    }
    const { ratePerSecond, burst } = held;
    if (ratePerSecond === undefined) {
      return { granted: true };
    }
    this._noteMembers();
    const limits = { ratePerSecond, burst };
    const part = this._asker.shareOf(workspace, limits, this._deps.settings.id);
    const end = this._owner.take(workspace, part, limits, tables.version, monotonicMs());
    if (end !== 'not_owner') {
      this.counts[end.granted ? 'granted' : 'denied']++;
    }
    return end;
  }

  private _expireLater(): void {
    this._timer ??= setTimeout(() => {
      this._timer = undefined;
      this._expire();
      if (this._pending.size > 0) {
        this._expireLater();
      }
    }, kAnswerMs / 2);
  }

  private _expire(): void {
    const now = monotonicMs();
    for (const [id, pending] of this._pending) {
      if (now >= pending.expiresAt) {
        this._giveUp(id, pending);
      }
    }
  }

  private _giveUp(id: number, { host, done }: Pending): void {
    this._pending.delete(id);
    this.counts.unanswered++;
    this._deps.events.ordinary('workspaces', 'No answer of the owner of a quota.', () => ({ peer: host }));
    done('no_answer');
  }
}
