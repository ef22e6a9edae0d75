/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Whether calls inherit the deadlines of the runs that make them, by called route. */

import type { DeadlineObservation } from './deadlineObservation.js';
import { RouteInheritance } from './routeInheritance.js';

export class InheritedDeadlines {
  private readonly _routes = new Map<string, RouteInheritance>();

  /** Whether the deadlines of calls to a route can be used to find the runs that make them. */
  inherits(route: string): boolean {
    return this._routes.get(route)?.inherits ?? false;
  }

  /** Learned time limit of a route, in milliseconds; undefined if there is none. */
  capMs(route: string): number | undefined {
    return this._routes.get(route)?.capMs;
  }

  /** Whether the time left of a call is determined by the limit of its own route. */
  isCapped(route: string, remainingMs: number): boolean {
    return this._routes.get(route)?.isCapped(remainingMs) ?? false;
  }

  /** Records a call to a route. */
  record(route: string, observation: DeadlineObservation): void {
    let inheritance = this._routes.get(route);
    if (!inheritance) {
      inheritance = new RouteInheritance();
      this._routes.set(route, inheritance);
    }
    inheritance.record(observation);
  }
}
