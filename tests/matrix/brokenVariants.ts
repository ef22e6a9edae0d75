/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Variants of the core that each lack one mechanism. The matrix must detect every one. */

import { ClaimIndex, ConfigFold, Gate, RetryLedger, RetryTokenBucket } from '@gentiandrum/core';
import { kAdapter } from './matrixWorld.js';

/** A broken variant and the guarantee that it must violate. */
export interface BrokenVariant {
  name: string;
  guarantee: string;
  /** Disables the mechanism; returns a function that restores it. */
  install: () => () => void;
}

/** Replaces a method of a prototype; returns a function that restores it. */
function replace<T extends object, K extends keyof T>(proto: T, method: K, broken: T[K]): () => void {
  const original = proto[method];
  proto[method] = broken;
  return () => {
    proto[method] = original;
  };
}

export const kBrokenVariants: BrokenVariant[] = [
  {
    name: 'a retry allowance that is copied to each call',
    guarantee: '1 retries bounded',
    install: () => {
      const restores = [
        replace(RetryLedger.prototype, 'reserve', () => 2),
        replace(RetryLedger.prototype, 'takeOne', () => true),
        replace(RetryLedger.prototype, 'remaining', () => 2),
        replace(RetryTokenBucket.prototype, 'spend', () => true),
      ];
      return () => {
        restores.forEach((restore) => {
          restore();
        });
      };
    },
  },
  {
    name: 'a claim that runs before it is read back',
    guarantee: '5 at most once',
    install: () =>
      replace(ClaimIndex.prototype, 'apply', function apply(this: ClaimIndex, _offset: number, value: unknown) {
        const latest = (value as { key: string }[]).at(-1);
        if (latest) {
          (this as unknown as { _holders: Map<string, unknown> })._holders.set(latest.key, latest);
        }
      }),
  },
  {
    name: 'a snapshot that is adopted without a version check',
    guarantee: '8 configuration',
    install: () =>
      replace(ConfigFold.prototype, 'adopt', function adopt(this: ConfigFold, value: unknown) {
        const { version, offset, config } = value as { version: number; offset: number; config: unknown };
        Object.assign(this, { _version: version, _next: offset, _written: config });
        return true;
      }),
  },
  {
    name: 'a gate that stays open after close',
    guarantee: '6 closed gate starts nothing',
    install: () => replace(Gate.prototype, 'close', () => undefined),
  },
  {
    name: 'an adapter that reports a lost reply as not sent',
    guarantee: '4 not run',
    install: () => {
      kAdapter.lostMayHaveRun = false;
      return () => {
        kAdapter.lostMayHaveRun = true;
      };
    },
  },
];
