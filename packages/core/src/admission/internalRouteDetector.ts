/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Detects internal routes, which only targets call. Calls do not identify their root request, but external requests arrive
 * from hosts of every service, and calls of targets only from hosts of the services that make them.
 */

/** Arrivals before a route is classified, enough for external requests to have come from hosts of every service. */
const kMinArrivals = 60;
/** Number of arrivals on a route at which the counts are halved, so that the classification follows changes in use. */
const kHalveAtArrivals = 2_000;

interface RouteCallers {
  arrivals: number;
  byService: Map<string, number>;
}

/** Classifies routes by the callers that one gate receives. */
export class InternalRouteDetector {
  private readonly _routes = new Map<string, RouteCallers>();
  private readonly _allCallers = new Map<string, number>();
  /** Classifications by an earlier process of this daemon or by another host. */
  private readonly _restored = new Map<string, boolean>();
  /** Routes that received requests with API keys. */
  private readonly _keyedRoutes = new Set<string>();

  /** Sets the classification that is used until enough calls have arrived. */
  restore(route: string, internal: boolean): void {
    this._restored.set(route, internal);
  }

  /** Whether a route is internal, for all classified routes. */
  classifications(): Record<string, boolean> {
    const routes = new Set([...this._routes.keys(), ...this._restored.keys()]);
    return Object.fromEntries(
      [...routes].flatMap((route): [string, boolean][] => {
        const internal = this.isInternal(route);
        return internal === undefined ? [] : [[route, internal]];
      }),
    );
  }

  /** Records an arrival from a host of a service; `keyed` when it has an API key, as only external requests do. */
  recordArrival(route: string, callerService: string, keyed = false): void {
    if (keyed) {
      this._keyedRoutes.add(route);
    }
    let callers = this._routes.get(route);
    if (!callers) {
      callers = { arrivals: 0, byService: new Map() };
      this._routes.set(route, callers);
    }
    callers.arrivals++;
    add(callers.byService, callerService);
    add(this._allCallers, callerService);
    if (callers.arrivals >= kHalveAtArrivals) {
      callers.arrivals /= 2;
      halve(callers.byService);
      halve(this._allCallers);
    }
  }

  /** Whether only targets call the route; undefined while the route is not classified. */
  isInternal(route: string): boolean | undefined {
    if (this._keyedRoutes.has(route)) {
      return false;
    }
    const callers = this._routes.get(route);
    if (!callers || callers.arrivals < kMinArrivals) {
      return this._restored.get(route);
    }
    return callers.byService.size < this._allCallers.size;
  }
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function halve(counts: Map<string, number>): void {
  for (const [key, count] of counts) {
    if (count < 1) {
      counts.delete(key);
    } else {
      counts.set(key, count / 2);
    }
  }
}
