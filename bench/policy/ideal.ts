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
import { kNearMs, type LoadPlan } from './deployment.js';
import type { Scenario } from './scenarios.js';
import type { Host, World } from './world.js';

const kSecondMs = 1_000;

/** Ideal whole requests a second by load. */
export function idealPerSecond(world: World, scenario: Scenario): Map<string, number> {
  const totals = new Map<string, number>();
  for (const side of sides(world)) {
    const share = side.length / world.hosts.length;
    for (const [load, rate] of idealOfSide(side, share, scenario)) {
      totals.set(load, (totals.get(load) ?? 0) + rate);
    }
  }
  return totals;
}

function sides(world: World): Host[][] {
  const [first] = world.hosts;
  if (!first) {
    return [];
  }
  const zones = [...new Set(world.hosts.map((host) => host.zone))];
  const alone = zones.filter((zone) =>
    world.hosts.some(
      (host) => host.zone === zone && world.hosts.every((other) => other.zone === zone || world.delay(host, other) === undefined),
    ),
  );
  const cut = alone.length > 0 && alone.length < zones.length ? alone : [];
  const together = world.hosts.filter((host) => !cut.includes(host.zone));
  return [...cut.map((zone) => world.hosts.filter((host) => host.zone === zone)), together];
}

function idealOfSide(side: Host[], share: number, scenario: Scenario): Map<string, number> {
  const { deployment, surge, workFactor } = scenario;
  const workOf = (service: string): number => {
    const plan = deployment.services.find(({ name }) => name === service);
    const factors = side.filter((host) => host.service === service).map((host) => workFactor?.(host) ?? 1);
    return (plan?.workMs ?? 0) * (factors[0] ?? 1);
  };
  const room = new Map(deployment.services.map(({ name }) => [name, slotsOf(side, name) * kSecondMs]));
  const loads = [...deployment.loads].sort((a, b) => importanceIndex(a.importance) - importanceIndex(b.importance));
  return new Map(loads.map((load) => [load.name, take(load, load.perSecond * surge * share, room, workOf)]));
}

function slotsOf(side: Host[], service: string): number {
  return side.filter((host) => host.service === service && !host.dead).reduce((sum, host) => sum + host.slots, 0);
}

/** Serves as much of a load as fits, and takes the slots that it holds. */
function take(load: LoadPlan, wanted: number, room: Map<string, number>, workOf: (service: string) => number): number {
  const holds = new Map<string, number>();
  let behindMs = 0;
  for (const service of [...load.chain].reverse()) {
    behindMs += workOf(service) + (behindMs > 0 ? 2 * kNearMs : 0);
    holds.set(service, (holds.get(service) ?? 0) + behindMs);
  }
  const fits = [...holds].map(([service, ms]) => (room.get(service) ?? 0) / ms);
  const rate = Math.min(wanted, ...fits);
  for (const [service, ms] of holds) {
    room.set(service, (room.get(service) ?? 0) - rate * ms);
  }
  return rate;
}
