/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * What the capacity allows: the whole requests a second that a perfect layer would serve during the trigger.
 *
 * Each target gives its slots, a second each. A call of a chain holds a slot for its own work and for all work and network
 * behind it. Demand is served in order of importance until a service on the chain is full. While a zone is cut off, each
 * side serves what enters there and finds all its services there.
 */

import { importanceIndex } from '@gentiandrum/core';
import { kIntraZoneDelayMs, type LoadPlan } from './deployment.js';
import type { Scenario } from './scenarios.js';
import type { Host, World } from './world.js';

const kMsPerSecond = 1_000;

/** Ideal whole requests a second by load. */
export function idealPerSecond(world: World, scenario: Scenario): Map<string, number> {
  const totals = new Map<string, number>();
  for (const partition of partitions(world)) {
    const share = partition.length / world.hosts.length;
    for (const [load, rate] of idealOfPartition(partition, share, scenario)) {
      totals.set(load, (totals.get(load) ?? 0) + rate);
    }
  }
  return totals;
}

function partitions(world: World): Host[][] {
  const [first] = world.hosts;
  if (!first) {
    return [];
  }
  const zones = [...new Set(world.hosts.map((host) => host.zone))];
  const isolatedZones = zones.filter((zone) =>
    world.hosts.some(
      (host) => host.zone === zone && world.hosts.every((other) => other.zone === zone || world.delayMs(host, other) === undefined),
    ),
  );
  const separateZones = isolatedZones.length > 0 && isolatedZones.length < zones.length ? isolatedZones : [];
  const connectedHosts = world.hosts.filter((host) => !separateZones.includes(host.zone));
  return [...separateZones.map((zone) => world.hosts.filter((host) => host.zone === zone)), connectedHosts];
}

function idealOfPartition(partition: Host[], share: number, scenario: Scenario): Map<string, number> {
  const { deployment, loadFactor, workFactor } = scenario;
  const workOf = (service: string): number => {
    const plan = deployment.services.find(({ name }) => name === service);
    const factors = partition.filter((host) => host.service === service).map((host) => workFactor?.(host) ?? 1);
    return (plan?.workMs ?? 0) * (factors[0] ?? 1);
  };
  const capacity = new Map(deployment.services.map(({ name }) => [name, slotsOf(partition, name) * kMsPerSecond]));
  const loads = [...deployment.loads].sort((a, b) => importanceIndex(a.importance) - importanceIndex(b.importance));
  return new Map(loads.map((load) => [load.name, allocate(load, load.perSecond * loadFactor * share, capacity, workOf)]));
}

function slotsOf(partition: Host[], service: string): number {
  return partition.filter((host) => host.service === service && !host.crashed).reduce((sum, host) => sum + host.slots, 0);
}

/** Serves as much of a load as fits, and takes the slots that it holds. */
function allocate(load: LoadPlan, wanted: number, capacity: Map<string, number>, workOf: (service: string) => number): number {
  const slotMsByService = new Map<string, number>();
  let downstreamMs = 0;
  for (const service of [...load.chain].reverse()) {
    downstreamMs += workOf(service) + (downstreamMs > 0 ? 2 * kIntraZoneDelayMs : 0);
    slotMsByService.set(service, (slotMsByService.get(service) ?? 0) + downstreamMs);
  }
  const feasibleRates = [...slotMsByService].map(([service, ms]) => (capacity.get(service) ?? 0) / ms);
  const rate = Math.min(wanted, ...feasibleRates);
  for (const [service, ms] of slotMsByService) {
    capacity.set(service, (capacity.get(service) ?? 0) - rate * ms);
  }
  return rate;
}
