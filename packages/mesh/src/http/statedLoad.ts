/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Parses the load that a target states in the header of its responses. */

import type { TargetLoad } from '@gentiandrum/core';

/** Load in the header of a response. */
export type LoadStatement = { kind: 'valid'; load: TargetLoad } | { kind: 'invalid' };

/** Three or four whole numbers without a sign, with optional spaces. */
const kLoadPattern = /^[ \t]*(\d{1,7})[ \t]*,[ \t]*(\d{1,7})[ \t]*,[ \t]*(\d{1,7})[ \t]*(?:,[ \t]*(\d{1,7})[ \t]*)?$/;

/** Largest valid figure. */
const kMaxFigure = 1_000_000;

const kInvalid: LoadStatement = { kind: 'invalid' };

/** Parses the value of the header: running, waiting and slots, followed by the slowness in newer targets. */
export function parseStatedLoad(text: string): LoadStatement {
  const match = kLoadPattern.exec(text);
  if (!match) {
    return kInvalid;
  }
  const running = Number(match[1]);
  const waiting = Number(match[2]);
  const slots = Number(match[3]);
  const slowness = match[4] === undefined ? undefined : Number(match[4]);
  // Work takes some time on any machine, so a slowness of 0 is not a measurement.
  if (Math.max(running, waiting, slots, slowness ?? 0) > kMaxFigure || slowness === 0) {
    return kInvalid;
  }
  return { kind: 'valid', load: { running, waiting, slots, slowness } };
}
