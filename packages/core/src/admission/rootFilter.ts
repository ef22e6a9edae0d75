/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Refuses requests where they enter if a downstream gate would shed them.
 *
 * Responses report the tightest admission level on their path and the service that set it. The filter keeps one level per
 * service, shared by all request classes, and for each class the service that restricted it last. A class whose
 * requests are all refused therefore reopens when responses to other classes report a higher level.
 */

import type { LevelReport } from './levelReport.js';
import { kOpenLevel } from './rank.js';

/** Time constant with which a level follows the reports, in milliseconds. */
const kSmoothingMs = 50;

/** How the level of a service rises again without reports. */
export interface ReopenPolicy {
  /** Time without a report on a service after which its level starts to rise, in milliseconds. */
  idleMs: number;
  /** Rise in ranks per millisecond, by the setting `overload.favour`. */
  ranksPerMs: { goodput: number; recovery: number };
}

/** Policy where requests enter. It is slow, because reopening too early wastes the work of a whole chain. */
export const kRootReopenPolicy: ReopenPolicy = { idleMs: 500, ranksPerMs: { goodput: 0.1, recovery: 0.5 } };
/** Policy at a gate within the chain. It is fast, because the gate would report a stale level to the root. */
export const kGateReopenPolicy: ReopenPolicy = { idleMs: 150, ranksPerMs: { goodput: 3, recovery: 3 } };

interface ServiceLevel {
  level: number;
  at: number;
}

/** Known levels of downstream services at one daemon. */
export class RootFilter {
  private readonly _services = new Map<string, ServiceLevel>();
  private readonly _restrictingServices = new Map<string, string>();

  constructor(
    private readonly _favour: () => 'goodput' | 'recovery',
    private readonly _reopenPolicy: ReopenPolicy = kRootReopenPolicy,
  ) {}

  /** Returns the level of a request class at `now`. */
  level(className: string, now: number): number {
    return this._serviceLevel(this._restrictingServices.get(className) ?? '', now);
  }

  /** Whether a root request of this class and rank is admitted. */
  admits(className: string, rank: number, now: number): boolean {
    return rank < this.level(className, now);
  }

  /** Service that last restricted a class, by its level or because it had no target; undefined when none did. */
  restrictingService(className: string): string | undefined {
    return this._restrictingServices.get(className);
  }

  /** Applies the report in the response to a request of a class. */
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

  /** Applies a reported level of a service's gate. */
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
