/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Early refusal where a request enters: a request that would be shed further down is refused before its first hop.
 *
 * Answers bring back the tightest admission level met on their way, and the service that set it. The filter keeps one
 * level per service, which any answer refreshes, and for each request class the service that narrowed it last: a class
 * that is shed altogether here still hears from the answers of others when that service opens again.
 */

import type { LevelReport } from './levelReport.js';
import { kOpenLevel } from './rank.js';

/** Time over which a level follows the answers, in milliseconds. */
const kSmoothingMs = 50;
/** How a level that nothing is heard of opens by itself. */
export interface ReopenPolicy {
  /** Time without any answer about a service after which its level begins to open, in milliseconds. */
  idleMs: number;
  /** Ranks by which it then opens per millisecond. */
  ranksPerMs: { goodput: number; recovery: number };
}

/** Where requests enter: what opens too early wastes the work of a whole chain. */
export const kRootReopenPolicy: ReopenPolicy = { idleMs: 500, ranksPerMs: { goodput: 0.1, recovery: 0.5 } };
/** At a gate on the way: the root guards the chain, and a stale level here would tell it wrong. */
export const kGateReopenPolicy: ReopenPolicy = { idleMs: 150, ranksPerMs: { goodput: 3, recovery: 3 } };

interface ServiceLevel {
  level: number;
  at: number;
}

/** Levels at one daemon. */
export class RootFilter {
  private readonly _services = new Map<string, ServiceLevel>();
  private readonly _restrictingServices = new Map<string, string>();

  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    private readonly _reopenPolicy: ReopenPolicy = kRootReopenPolicy,
  ) {}

  /** Level of a class as of `now`. */
  level(className: string, now: number): number {
    return this._serviceLevel(this._restrictingServices.get(className) ?? '', now);
  }

  /** Whether a root request may enter. */
  admits(className: string, rank: number, now: number): boolean {
    return rank < this.level(className, now);
  }

  /** Service that narrowed a class last, by its level or because it had no target. */
  restrictingService(className: string): string | undefined {
    return this._restrictingServices.get(className);
  }

  /** Takes what the answer to a root request of a class brought back. */
  update(className: string, report: LevelReport, now: number): void {
    if (report.service === '') {
      return;
    }
    if (report.absent === true) {
      this._restrictingServices.set(className, report.service);
      return;
    }
    if (report.level < kOpenLevel) {
      this._restrictingServices.set(className, report.service);
    }
    this.updateService(report.service, report.level, now);
    const restricting = this._restrictingServices.get(className);
    if (restricting !== undefined && restricting !== report.service) {
      this.updateService(restricting, kOpenLevel, now);
    }
  }

  /** Takes the level of a service's gate, from any answer. */
  updateService(service: string, level: number, now: number): void {
    if (service === '') {
      return;
    }
    const known = this._services.get(service);
    if (!known) {
      this._services.set(service, { level, at: now });
      return;
    }
    const before = this._serviceLevel(service, now);
    const weight = 1 - Math.exp(-Math.max(1, now - known.at) / kSmoothingMs);
    known.level = before + (level - before) * weight;
    known.at = now;
  }

  private _serviceLevel(service: string, now: number): number {
    const known = this._services.get(service);
    if (!known) {
      return kOpenLevel;
    }
    const reopeningMs = Math.max(0, now - known.at - this._reopenPolicy.idleMs);
    return Math.min(kOpenLevel, known.level + reopeningMs * this._reopenPolicy.ranksPerMs[this._favour()]);
  }
}
