/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Computes the ideal goodput: the root requests per second that the capacity allows during the trigger.
 *
 * A call holds a slot for its own work and for all work and network delay downstream of it. Demand is served in order of importance
 * until a service on the chain has no capacity left. While a zone is isolated, each partition serves its share of the requests alone.
 */

import { importanceIndex } from '@gentiandrum/core';
import { kIntraZoneDelayMs, type LoadPlan } from './deployment.js';
import type { Scenario } from './scenarios.js';
import type { Host, World } from './world.js';

const kMsPerSecond = 1_000;

/** Ideal rate of successful root requests by name of the load. */
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
  const workMsOf = (service: string): number => {
    const plan = deployment.services.find(({ name }) => name === service);
    const factors = partition.filter((host) => host.service === service).map((host) => workFactor?.(host) ?? 1);
    return (plan?.workMs ?? 0) * (factors[0] ?? 1);
  };
  const capacity = new Map(deployment.services.map(({ name }) => [name, slotsOf(partition, name) * kMsPerSecond]));
  const loads = [...deployment.loads].sort((a, b) => importanceIndex(a.importance) - importanceIndex(b.importance));
  return new Map(loads.map((load) => [load.name, allocate(load, load.perSecond * loadFactor * share, capacity, workMsOf)]));
}

function slotsOf(partition: Host[], service: string): number {
  return partition.filter((host) => host.service === service && !host.crashed).reduce((sum, host) => sum + host.slots, 0);
}

/** Returns the rate at which a load can be served, and subtracts the slot time that it uses from `capacity`. */
function allocate(load: LoadPlan, requestedRate: number, capacity: Map<string, number>, workMsOf: (service: string) => number): number {
  const slotMsByService = new Map<string, number>();
  let downstreamMs = 0;
  for (const service of [...load.chain].reverse()) {
    downstreamMs += workMsOf(service) + (downstreamMs > 0 ? 2 * kIntraZoneDelayMs : 0);
    slotMsByService.set(service, (slotMsByService.get(service) ?? 0) + downstreamMs);
  }
  const feasibleRates = [...slotMsByService].map(([service, ms]) => (capacity.get(service) ?? 0) / ms);
  const rate = Math.min(requestedRate, ...feasibleRates);
  for (const [service, ms] of slotMsByService) {
    capacity.set(service, (capacity.get(service) ?? 0) - rate * ms);
  }
  return rate;
}
