/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Condition that a target states in the headers of its responses. */

/** A decimal number without a sign or an exponent. */
const kRatePattern = /^\d{1,9}(?:\.\d{1,30})?$/;
const kLeavingValue = '1';

/** Rate limit in a response. An invalid one neither sets nor ends a limit. */
export type StatedRate = { kind: 'none' } | { kind: 'limit'; ratePerSecond: number } | { kind: 'invalid'; text: string };

/** Condition of a target. */
export interface TargetCondition {
  rate: StatedRate;
  leaving: boolean;
  /** Value of the header for leaving if it is not valid. */
  invalidLeaving?: string;
}

const kNoRate: StatedRate = { kind: 'none' };

/** Condition of a response without such headers. */
export const kNoCondition: TargetCondition = { rate: kNoRate, leaving: false };

/** Parses the values of the two headers; undefined for one that is missing. Repeated headers are passed as one list. */
export function parseCondition(rate: string | undefined, leaving: string | undefined): TargetCondition {
  const isLeaving = leaving?.trim() === kLeavingValue;
  return {
    rate: rate === undefined ? kNoRate : parseRate(rate),
    leaving: isLeaving,
    ...(leaving === undefined || isLeaving ? {} : { invalidLeaving: leaving }),
  };
}

function parseRate(text: string): StatedRate {
  const trimmed = text.trim();
  return kRatePattern.test(trimmed) ? { kind: 'limit', ratePerSecond: Number(trimmed) } : { kind: 'invalid', text };
}
