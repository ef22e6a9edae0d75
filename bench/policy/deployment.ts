/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Deployments that the comparison simulates, and the load on them. */

import type { Importance } from '@gentiandrum/protocol';

/** A service and its targets. */
export interface ServicePlan {
  name: string;
  targets: number;
  slots: number;
  /** Mean work time of a call at the target, without its downstream call, in milliseconds. */
  workMs: number;
}

/** A stream of root requests of one class. */
export interface LoadPlan {
  name: string;
  importance: Importance;
  idempotent: boolean;
  /** Services along the call chain, from the first call to the last. */
  chain: string[];
  /** Root requests per second at a load factor of 1. */
  perSecond: number;
}

/** A deployment and its load; `interZoneDelayMs` is the one-way network delay between zones. */
export interface Deployment {
  name: string;
  zones: string[];
  interZoneDelayMs: number;
  services: ServicePlan[];
  loads: LoadPlan[];
}

/** Retries allowed for a request of an idempotent class over its whole chain. */
export const kRetryAllowance = 3;
/** Deadline of one try of a root request. */
export const kDeadlineMs = 2_000;
/** One-way network delay within a zone. */
export const kIntraZoneDelayMs = 0.2;
/** One-way network delay between a client and its daemon. */
export const kClientDelayMs = 1;

/** Three zones; `hazards` is the bottleneck at the end of every chain. */
export const kTengerline: Deployment = {
  name: 'tengerline',
  zones: ['bayanzurkh', 'khan-uul', 'songino'],
  interZoneDelayMs: 1.5,
  services: [
    { name: 'archive', targets: 4, slots: 150, workMs: 40 },
    { name: 'defects', targets: 3, slots: 200, workMs: 40 },
    { name: 'switching', targets: 3, slots: 200, workMs: 40 },
    { name: 'hazards', targets: 3, slots: 20, workMs: 40 },
  ],
  loads: [
    { name: 'hazard-lookup', importance: 'critical', idempotent: true, chain: ['hazards'], perSecond: 125 },
    { name: 'outage-hold', importance: 'high', idempotent: false, chain: ['switching', 'hazards'], perSecond: 75 },
    { name: 'span-history', importance: 'normal', idempotent: true, chain: ['archive', 'defects', 'switching', 'hazards'], perSecond: 500 },
    { name: 'report', importance: 'low', idempotent: true, chain: ['archive', 'defects', 'switching', 'hazards'], perSecond: 200 },
  ],
};

/** Four zones; `locuri` is the bottleneck at the end of every chain. */
export const kShelters: Deployment = {
  name: 'shelters',
  zones: ['hala-1', 'hala-2', 'hala-3', 'hala-4'],
  interZoneDelayMs: 1,
  services: [
    { name: 'arhiva', targets: 4, slots: 45, workMs: 25 },
    { name: 'evidenta', targets: 4, slots: 45, workMs: 25 },
    { name: 'blocari', targets: 4, slots: 45, workMs: 25 },
    { name: 'locuri', targets: 4, slots: 15, workMs: 40 },
  ],
  loads: [
    { name: 'vacancy-search', importance: 'critical', idempotent: true, chain: ['locuri'], perSecond: 125 },
    { name: 'bed-hold', importance: 'high', idempotent: false, chain: ['blocari', 'locuri'], perSecond: 75 },
    { name: 'intake', importance: 'normal', idempotent: true, chain: ['arhiva', 'evidenta', 'blocari', 'locuri'], perSecond: 500 },
    { name: 'statistics', importance: 'low', idempotent: true, chain: ['arhiva', 'evidenta', 'blocari', 'locuri'], perSecond: 200 },
  ],
};

const kDeepChainLength = 28;

/** A chain of 28 calls over 26 services with two targets each. */
export const kDeepChain: Deployment = {
  name: 'deep',
  zones: ['one', 'two'],
  interZoneDelayMs: 1.5,
  services: Array.from({ length: 26 }, (_, i) => ({ name: `s${i}`, targets: 2, slots: 200, workMs: 5 })),
  loads: [
    {
      name: 'deep-read',
      importance: 'normal',
      idempotent: true,
      chain: Array.from({ length: kDeepChainLength }, (_, i) => `s${i % 26}`),
      perSecond: 60,
    },
  ],
};

/** The service with the fewest slots. */
export function bottleneckService(deployment: Deployment): ServicePlan {
  return deployment.services.reduce((a, b) => (b.targets * b.slots <= a.targets * a.slots ? b : a));
}
