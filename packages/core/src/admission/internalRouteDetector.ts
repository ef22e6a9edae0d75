/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tells the calls that targets make from the requests of people. Nothing in a call names its root, but people's requests begin
 * on hosts of every service, and a target's calls only on hosts of the services whose work makes them.
 */

/** Arrivals on a route before it is judged: by then some request of a person would have come from any given service. */
const kMinArrivals = 60;
/** Arrivals after which the counts are halved, so that a route whose use changes is judged anew. */
const kHalveAtArrivals = 2_000;

interface RouteCallers {
  arrivals: number;
  byService: Map<string, number>;
}

/** Who calls which route, as one gate sees it. */
export class InternalRouteDetector {
  private readonly _routes = new Map<string, RouteCallers>();
  private readonly _allCallers = new Map<string, number>();
  /** Judgements from before this start, or of another host. */
  private readonly _restored = new Map<string, boolean>();
  /** Routes on which requests with keys came. */
  private readonly _keyedRoutes = new Set<string>();

  /** Takes an earlier judgement; it counts until there are enough arrivals here. */
  restore(route: string, internal: boolean): void {
    this._restored.set(route, internal);
  }

  /** Judgements of all routes that could be judged. */
  classifications(): Record<string, boolean> {
    const routes = new Set([...this._routes.keys(), ...this._restored.keys()]);
    return Object.fromEntries(
      [...routes].flatMap((route): [string, boolean][] => {
        const internal = this.isInternal(route);
        return internal === undefined ? [] : [[route, internal]];
      }),
    );
  }

  /** Notes an arrival on a route from a host of a service; `keyed` when it carried a key, as only people's requests do. */
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

  /** Whether only targets call the route; undefined while that isn't known. */
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
