/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Finds the route of a request and splits its traffic between services. */

import type { Destination, MeshConfig, Route } from '@gentiandrum/protocol';

/** Looks up the routes of one configuration. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>();
  private readonly _splits = new Map<Route, WeightedSplit>();

  constructor(cfg: Pick<MeshConfig, 'routes'>) {
    for (const route of cfg.routes) {
      const routes = this._byHost.get(route.host) ?? [];
      routes.push(route);
      this._byHost.set(route.host, routes);
      this._splits.set(route, new WeightedSplit(route.destinations));
    }
    for (const routes of this._byHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /** Returns the route with the longest matching prefix, if any; `path` may include a query string. */
  find(host: string, path: string): Route | undefined {
    const queryStart = path.indexOf('?');
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    return this._byHost.get(hostName(host))?.find((route) => pathname.startsWith(route.prefix));
  }

  /** Returns the service for the next request of a route, according to the weights of its destinations. */
  nextService(route: Route): string {
    const [only] = route.destinations;
    return route.destinations.length === 1 && only ? only.service : (this._splits.get(route)?.next() ?? '');
  }
}

/** Smooth weighted round robin: any sequence of requests follows the weights closely. */
class WeightedSplit {
  private readonly _credits: number[];
  private readonly _total: number;

  constructor(private readonly _destinations: readonly Destination[]) {
    this._total = _destinations.reduce((sum, { weight }) => sum + weight, 0);
    // Random initial credits keep daemons that start together from choosing the same destination first.
    this._credits = _destinations.map(({ weight }) => Math.random() * weight);
  }

  next(): string {
    let best = 0;
    for (const [i, { weight }] of this._destinations.entries()) {
      this._credits[i] = (this._credits[i] ?? 0) + weight;
      if (weight > 0 && (this._destinations[best]?.weight === 0 || (this._credits[i] ?? 0) > (this._credits[best] ?? 0))) {
        best = i;
      }
    }
    this._credits[best] = (this._credits[best] ?? 0) - this._total;
    return this._destinations[best]?.service ?? '';
  }
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
