/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Places for callers that return: a shed request is told a time at which its return is admitted in spite of the level.
 *
 * The places of a route are spaced so that they take at most a fixed share of the rate at which this daemon admits its requests. A request
 * gets one only if it can use it; otherwise it is told a time after which a place would be free, beyond the time for which its caller waits.
 */

import { fingerprintOf, type RequestIdentity, screenOf } from '../quarantine/requestFingerprint.js';
import { AdmittedRate } from './admittedRate.js';

/** Largest number of places that are kept at once. */
const kMaxPlaces = 1_024;
/** Largest number of places for one key: a caller that returns early and is refused again must not take the places of others. */
const kMaxPlacesPerKey = 4;
/** Share of the admitted rate of a route that is used for places; the rest is left to new requests. */
const kPlacesShare = 1 / 3;
/** Shortest time that is told, in milliseconds: enough to open a new connection. */
const kMinReturnMs = 25;
/** Share of the time left for which callers honour Retry-After. */
const kHonouredShare = 1 / 3;
/** Time for the response to reach the caller, in milliseconds: its time left is shorter by this when it reads the header. */
const kTransitMs = 5;
/** Time before the told one from which a place is valid, in milliseconds: timers fire early by up to a few milliseconds. */
const kEarlyMs = 10;
/** Time after the told one until which a place is valid, in milliseconds. */
const kValidMs = 300;
/** Share of the honoured time within which a request that is not preferred may get a place. */
const kUnpreferredShare = 0.5;

/** Identifies requests for the same work of one workspace. */
export interface ReturnKey {
  workspace: string | undefined;
  /** Called only where a place is given, or may be used. */
  identity: () => RequestIdentity;
}

/** A request that the level sheds. */
export interface ShedRequest {
  route: string;
  /** Share of the external requests on the route that is rejected. */
  level: number;
  /** Time until the caller's deadline, in milliseconds; infinite when the caller sends none. */
  remainingMs: number;
  latencyTargetMs: number;
  /** Whether the request may take the places that are booked furthest ahead, because it is more urgent than others that are shed. */
  preferred: boolean;
  /** Whether the request can still end in time when it returns as late as its caller would. */
  canEndLater: boolean;
}

/** Time after which a shed request is told to return, and whether a place is kept for it then. */
export interface ReturnTime {
  retryAfterMs: number;
  kept: boolean;
}

/** Numbers since the start. */
export interface ReturnCounts {
  kept: number;
  used: number;
  lapsed: number;
  /** Shed requests without a place. */
  none: number;
}

interface Place {
  workspace: string | undefined;
  screen: number;
  fingerprint: string;
  at: number;
  /** Part of the route's time that the place takes. */
  intervalMs: number;
  schedule: RouteSchedule;
}

interface RouteSchedule {
  admitted: AdmittedRate;
  /** Time of the next free place. */
  nextAt: number;
}

/** Places at one daemon. Times are in milliseconds of the monotonic clock. */
export class ReturnPlaces {
  readonly counts: ReturnCounts = { kept: 0, used: 0, lapsed: 0, none: 0 };
  private readonly _schedules = new Map<string, RouteSchedule>();
  private _places: Place[] = [];
  private _nextLapseAt = Infinity;

  /** Number of places that are kept now. */
  get size(): number {
    return this._places.length;
  }

  /** Records an admitted request, with or without a place. */
  admitted(route: string, now: number): void {
    let schedule = this._schedules.get(route);
    if (!schedule) {
      schedule = { admitted: new AdmittedRate(), nextAt: -Infinity };
      this._schedules.set(route, schedule);
    }
    schedule.admitted.record(now);
  }

  /** Decides whether a shed request gets a place; undefined where no recent admission tells the rate of places. */
  refused(key: ReturnKey, request: ShedRequest, now: number): ReturnTime | undefined {
    this._removeLapsed(now);
    const schedule = this._schedules.get(request.route);
    const perSecond = schedule?.admitted.perSecond(now);
    if (!schedule || perSecond === undefined || request.level >= 1) {
      this.counts.none++;
      return undefined;
    }
    const at = Math.max(now + kMinReturnMs, schedule.nextAt);
    if (at - now <= latestReturnMs(request) && this._places.length < kMaxPlaces) {
      const intervalMs = 1_000 / (kPlacesShare * perSecond);
      if (this._keep(key, { at, intervalMs, schedule })) {
        schedule.nextAt = at + intervalMs;
        return { retryAfterMs: at - now, kept: true };
      }
    }
    this.counts.none++;
    // A caller that returned in this attempt would have no place, so the told time is also beyond the time that it honours.
    const honouredMs = Number.isFinite(request.remainingMs) ? request.remainingMs * kHonouredShare : 0;
    return { retryAfterMs: Math.max(at - now, honouredMs), kept: false };
  }

  /** Whether a request that now enters has a place; uses the place up. */
  returns(key: ReturnKey, now: number): boolean {
    this._removeLapsed(now);
    const due = this._places.filter(({ workspace, at }) => workspace === key.workspace && now >= at - kEarlyMs);
    if (due.length === 0) {
      return false;
    }
    const identity = key.identity();
    const screen = screenOf(identity);
    const candidates = due.filter((place) => place.screen === screen);
    if (candidates.length === 0) {
      return false;
    }
    const fingerprint = fingerprintOf(identity);
    const used = candidates.find((place) => place.fingerprint === fingerprint);
    if (!used) {
      return false;
    }
    this._places.splice(this._places.indexOf(used), 1);
    this.counts.used++;
    return true;
  }

  private _keep({ workspace, identity }: ReturnKey, place: Pick<Place, 'at' | 'intervalMs' | 'schedule'>): boolean {
    const request = identity();
    const screen = screenOf(request);
    const fingerprint = fingerprintOf(request);
    const same = this._places.filter((other) => other.fingerprint === fingerprint && other.workspace === workspace);
    if (same.length >= kMaxPlacesPerKey) {
      return false;
    }
    this._places.push({ ...place, workspace, screen, fingerprint });
    this._nextLapseAt = Math.min(this._nextLapseAt, place.at + kValidMs);
    this.counts.kept++;
    return true;
  }

  /** Removes the places that were not used in time, and frees their part of the rate. */
  private _removeLapsed(now: number): void {
    if (now <= this._nextLapseAt) {
      return;
    }
    this._nextLapseAt = Infinity;
    this._places = this._places.filter((place) => {
      const lapsesAt = place.at + kValidMs;
      if (now <= lapsesAt) {
        this._nextLapseAt = Math.min(this._nextLapseAt, lapsesAt);
        return true;
      }
      this.counts.lapsed++;
      place.schedule.nextAt -= place.intervalMs;
      return false;
    });
  }
}

/** Latest time at which a return of a shed request is useful, in milliseconds from now; negative where none is. */
function latestReturnMs({ remainingMs, latencyTargetMs, preferred, canEndLater }: ShedRequest): number {
  if (!canEndLater) {
    return -1;
  }
  const latestMs = Math.min(remainingMs * kHonouredShare - kTransitMs, latencyTargetMs);
  return preferred ? latestMs : latestMs * kUnpreferredShare;
}
