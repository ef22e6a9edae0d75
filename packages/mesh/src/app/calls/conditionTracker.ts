/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks the condition that this host's target states in its responses: passes its rate limit to the rate limiter, logs changes, and decides
 * when other daemons need to know. A condition belongs to one incarnation of the target.
 */

import { isSameIncarnation, monotonicMs, type TargetRecord, type TargetRateLimiter } from '@gentiandrum/core';
import type { StatedRate, TargetCondition } from '../../http/targetCondition.js';
import type { EventLog } from '../eventLog.js';

/** Minimum interval between two published changes of a limit, in milliseconds. */
const kPublishIntervalMs = 1_000;
/** Relative change of a limit up to which the published one is kept. */
const kMinChange = 0.1;

type Incarnation = Pick<TargetRecord, 'instance' | 'born'>;

/** Daemon services that the tracker depends on. */
export interface ConditionTrackerDeps {
  limiter: TargetRateLimiter;
  /** Returns the current incarnation of the target. */
  incarnation: () => Incarnation;
  /** Called when the published limit changes. */
  onPublish: () => void;
  /** Called for each response that states that the target is leaving, with the id of its request. */
  onLeaving: (requestId: string) => void;
  events: EventLog;
}

/** Condition of the target on this host. */
export class ConditionTracker {
  private _published: number | undefined;
  private _publishedAt = -Infinity;
  /** Limit that an earlier daemon of this host published, until its target is known to be the current one. */
  private _restored: (Incarnation & { ratePerSecond: number }) | undefined;
  /** Headers with an invalid value that were logged for the current incarnation. */
  private readonly _logged = new Set<string>();
  /** Request whose response changed the limit last. */
  private _requestId = '';

  constructor(private readonly _deps: ConditionTrackerDeps) {}

  /** Limit that other daemons know, in requests per second; undefined without one. */
  get published(): number | undefined {
    return this._published;
  }

  /** Forgets the limit, because another incarnation of the target has started. */
  reset(): void {
    this._deps.limiter.reset();
    this._logged.clear();
    this._published = undefined;
    this._publishedAt = -Infinity;
  }

  /** Remembers the limit in a record that an earlier daemon of this host published. */
  restore({ instance, born, rateLimit }: TargetRecord): void {
    if (rateLimit !== undefined) {
      this._restored = { instance, born, ratePerSecond: rateLimit };
      this.applyRestored();
    }
  }

  /** Enforces the restored limit once its incarnation is the current one, unless the target has stated one since. */
  applyRestored(): void {
    const restored = this._restored;
    const { limiter, incarnation, onPublish, events } = this._deps;
    if (!restored || !isSameIncarnation(restored, incarnation())) {
      return;
    }
    this._restored = undefined;
    if (!limiter.active) {
      limiter.state(restored.ratePerSecond, monotonicMs());
      this._published = restored.ratePerSecond;
      events.info('target', 'Restored the rate limit that the target stated to an earlier daemon.', {
        instance: restored.instance,
        perSecond: restored.ratePerSecond,
      });
      onPublish();
    }
  }

  /** Applies the condition that the target stated in a response. */
  record({ rate, leaving, invalidLeaving }: TargetCondition, requestId: string): void {
    this._recordRate(rate, requestId);
    if (invalidLeaving !== undefined) {
      this._logInvalid('a leaving header', invalidLeaving, requestId);
    }
    if (leaving) {
      this._deps.onLeaving(requestId);
    }
  }

  /** Records a complete response without a rate limit to a request that was sent at `sentAt`, on the monotonic clock. */
  recordNoRateLimit(requestId: string, sentAt: number): void {
    if (this._deps.limiter.recordUnlimited(sentAt, monotonicMs())) {
      this._requestId = requestId;
      this.publish();
    }
  }

  private _recordRate(rate: StatedRate, requestId: string): void {
    const { limiter } = this._deps;
    switch (rate.kind) {
      case 'limit':
        if (limiter.statedRate !== rate.ratePerSecond) {
          this._requestId = requestId;
        }
        limiter.state(rate.ratePerSecond, monotonicMs());
        this.publish();
        return;
      case 'none':
        return;
      case 'invalid':
        this._logInvalid('a rate limit', rate.text, requestId);
    }
  }

  /** Logs the invalid value of a header, once for each incarnation. */
  private _logInvalid(what: string, value: string, requestId: string): void {
    if (!this._logged.has(what)) {
      this._logged.add(what);
      const { instance } = this._deps.incarnation();
      this._deps.events.warn('target', `Ignored ${what} in a response of the target: expected a valid value.`, {
        instance,
        value,
        req: requestId,
      });
    }
  }

  /** Publishes the stated limit if it differs from the published one; called several times per second, as changes may have to wait. */
  publish(): void {
    const { limiter, incarnation, onPublish, events } = this._deps;
    const stated = limiter.statedRate;
    const now = monotonicMs();
    if (!differs(stated, this._published) || now - this._publishedAt < kPublishIntervalMs) {
      return;
    }
    const fields = { instance: incarnation().instance, before: this._published, req: this._requestId };
    if (stated === undefined) {
      events.info('target', 'The target no longer states a rate limit.', fields);
    } else {
      events.info('target', 'The target states a rate limit.', { ...fields, perSecond: stated });
    }
    this._published = stated;
    this._publishedAt = now;
    onPublish();
  }
}

function differs(stated: number | undefined, published: number | undefined): boolean {
  if (stated === undefined || published === undefined) {
    return stated !== published;
  }
  return Math.abs(stated - published) > published * kMinChange;
}
