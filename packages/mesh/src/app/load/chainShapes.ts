/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Expected calls and gates of a run by route, cached because each call of a chain asks for them, once for each run that may have made it. */

import { type ChainModel, monotonicMs } from '@gentiandrum/core';

/** Time for which a shape is cached, in milliseconds; short against the second between estimates of the call ratios. */
const kCacheMs = 100;

/** Shape of the chain below one run. */
export interface ChainShape {
  /** Gates that one call on the route passes, itself included; 1 while they are unknown. */
  gates: number;
  /** Calls of a run that succeeds. */
  calls: number;
  /** Whether the calls of the route are estimated. */
  estimated: boolean;
}

interface CachedShape {
  shape: ChainShape;
  at: number;
}

export class ChainShapes {
  private readonly _byRoute = new Map<string, CachedShape>();

  constructor(private readonly _chains: ChainModel) {}

  of(route: string): ChainShape {
    const now = monotonicMs();
    const cached = this._byRoute.get(route);
    if (cached && now - cached.at <= kCacheMs) {
      return cached.shape;
    }
    const shape = {
      gates: this._chains.report(route, 0).gates ?? 1,
      calls: this._chains.callsPerRun(route),
      estimated: this._chains.isEstimated(route),
    };
    this._byRoute.set(route, { shape, at: now });
    return shape;
  }
}
