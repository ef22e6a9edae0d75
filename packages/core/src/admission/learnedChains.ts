/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Data that a daemon learned about the routes that run on its host. It applies to all hosts of the service. */
export interface LearnedChains {
  /** Calls per run of each route, by the called route. */
  calls: Record<string, Record<string, number>>;
  /** Whether only targets call a route, by route. */
  inner: Record<string, boolean>;
}
