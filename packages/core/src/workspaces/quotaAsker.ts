/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Takes tokens of workspaces' quotas for the requests that enter at one daemon: asks the owners of the parts one after the other, those of
 * the own zone first, and leaves out those that said when they will have one, or that did not answer.
 */

import type { QuotaSettings } from '@gentiandrum/protocol';
import { hashText } from '../util/hashText.js';
import type { GrantEnd } from './quotaOwner.js';
import { divideQuota, type HashedHost, type QuotaHost, type QuotaLimits, type QuotaPart, withHashes } from './quotaParts.js';

/** Time for which an owner that did not answer is left out, in milliseconds: as long as a lost link takes to be noticed. */
const kAvoidMs = 1_000;
/** Owners without an answer that one request waits for. */
const kMaxUnanswered = 2;
/** Time after which an owner that knows of no part of its own is asked again, in milliseconds: records get around in that time. */
const kNotOwnerMs = 200;
/** Shortest time after which a caller may come back, in milliseconds: a whole one of those that headers tell, and some. */
const kLeastRetryMs = 10;
/** Workspaces whose division is held; beyond them all begin anew, at 0.2 ms each with 490 hosts. */
const kMaxDivided = 2_000;
/** Time after which a caller may come back when owners could not be asked, in milliseconds. */
const kUnknownMs = 300;

/** One question to the owner of a part. */
export interface TokenRequest {
  workspace: string;
  part: QuotaPart;
}

/** How an owner answered. */
export type TokenAnswer = GrantEnd | 'no_answer';

/** What became of a request's token. `part` is where it goes back to when the request does not run. */
export type QuotaEnd =
  | { kind: 'granted'; part: QuotaPart }
  | { kind: 'over_quota'; retryAfterMs: number }
  /** Some owner could not be asked, so it isn't known whether the quota is used up. */
  | { kind: 'quota_unknown'; retryAfterMs: number };

/** Hosts that quotas are divided over, and a number that changes with them. */
export interface QuotaMembers {
  readonly revision: number;
  hosts(): readonly QuotaHost[];
}

interface Divided {
  burst: number;
  /** In the order in which they are asked. */
  order: readonly QuotaPart[];
  /** When owners without a token will have one again, by host. */
  dryUntil: Map<string, number>;
}

/** Asker of one daemon. Times are on the monotonic clock, in milliseconds. */
export class QuotaAsker {
  private readonly _divided = new Map<string, Divided>();
  private _revision = -1;
  private _hosts: readonly HashedHost[] = [];
  private readonly _avoidUntil = new Map<string, number>();
  /** Where this daemon begins among the owners of its zone, so that they get equal shares of the demand. */
  private readonly _turn: number;

  constructor(
    private readonly _self: QuotaHost,
    private readonly _members: QuotaMembers,
    private readonly _settings: QuotaSettings,
    private readonly _now: () => number,
  ) {
    this._turn = hashText(_self.host);
  }

  /** The part of a workspace's quota that a host owns. */
  partOf(workspace: string, limits: QuotaLimits, host: string): QuotaPart | undefined {
    return this._divide(workspace, limits).order.find((part) => part.host === host);
  }

  /** Takes one token; driven with the owners' answers. */
  *take(workspace: string, limits: QuotaLimits): Generator<TokenRequest, QuotaEnd, TokenAnswer> {
    const { order, dryUntil } = this._divide(workspace, limits);
    let unanswered = 0;
    for (const part of order) {
      const now = this._now();
      const avoided = (this._avoidUntil.get(part.host) ?? 0) > now;
      if (avoided || unanswered >= kMaxUnanswered) {
        unanswered++;
        continue;
      }
      if ((dryUntil.get(part.host) ?? 0) > now) {
        continue;
      }
      const answer = yield { workspace, part };
      if (answer === 'no_answer') {
        unanswered++;
        this._avoidUntil.set(part.host, this._now() + kAvoidMs);
      } else if (answer === 'not_owner') {
        dryUntil.set(part.host, this._now() + kNotOwnerMs);
      } else if (answer.granted) {
        return { kind: 'granted', part };
      } else {
        dryUntil.set(part.host, this._now() + answer.waitMs);
      }
    }
    const retryAfterMs = this._firstTokenMs(order, dryUntil);
    return unanswered > 0
      ? { kind: 'quota_unknown', retryAfterMs: Math.min(kUnknownMs, retryAfterMs) }
      : { kind: 'over_quota', retryAfterMs };
  }

  /** An owner can be reached again, or can't. */
  reached(host: string, up: boolean): void {
    if (up) {
      this._avoidUntil.delete(host);
    } else {
      this._avoidUntil.set(host, this._now() + kAvoidMs);
    }
  }

  private _firstTokenMs(order: readonly QuotaPart[], dryUntil: ReadonlyMap<string, number>): number {
    const now = this._now();
    const waits = order.map(({ host }) => (dryUntil.get(host) ?? Infinity) - now).filter((wait) => wait > 0 && wait < Infinity);
    return waits.length > 0 ? Math.max(kLeastRetryMs, Math.min(...waits)) : kUnknownMs;
  }

  private _divide(workspace: string, limits: QuotaLimits): Divided {
    this._forgetOld();
    const known = this._divided.get(workspace);
    if (known?.burst === limits.burst) {
      return known;
    }
    const parts = divideQuota(workspace, this._hosts, limits, this._settings);
    const divided: Divided = { burst: limits.burst, order: this._ordered(parts), dryUntil: new Map() };
    this._divided.set(workspace, divided);
    return divided;
  }

  /** State is held for workspaces in use. */
  private _forgetOld(): void {
    if (this._revision !== this._members.revision || this._divided.size >= kMaxDivided) {
      this._revision = this._members.revision;
      this._hosts = withHashes(this._members.hosts());
      this._divided.clear();
    }
  }

  /** The own part first, as it needs no message, then those of the zone, then others. */
  private _ordered(parts: readonly QuotaPart[]): QuotaPart[] {
    const near = parts.filter(({ zone }) => zone === this._self.zone);
    const far = parts.filter(({ zone }) => zone !== this._self.zone);
    const rotated = [...rotate(near, this._turn), ...rotate(far, this._turn)];
    return rotated.sort((a, b) => Number(b.host === this._self.host) - Number(a.host === this._self.host));
  }
}

function rotate<T>(items: readonly T[], by: number): T[] {
  const from = items.length > 0 ? by % items.length : 0;
  return [...items.slice(from), ...items.slice(0, from)];
}
