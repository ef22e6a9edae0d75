/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Fault and overload scenarios. */

import { type Deployment, kDeepChain, kShelters, kTengerline, bottleneckService } from './deployment.js';
import type { Host, World } from './world.js';

/** Start of the trigger (the fault or surge); before and after it, the load is normal. */
export const kTriggerAtMs = 6_000;
const kTriggerMs = 20_000;
const kOutageMs = 5_000;
/** Time after the trigger in which recovery is measured. */
export const kRecoveryObservationMs = 12_000;

/** Receives the changes that a policy may observe. */
export interface ChangeListener {
  onHostChanged: (host: Host) => void;
  onZonesChanged: () => void;
}

/** A scenario: a deployment, and the load and faults during the trigger. */
export interface Scenario {
  name: string;
  deployment: Deployment;
  /** Length of the trigger, in milliseconds. */
  triggerMs: number;
  /** Factor applied to the offered load during the trigger. */
  loadFactor: number;
  applyFault?: (world: World, listener: ChangeListener) => void;
  clearFault?: (world: World, listener: ChangeListener) => void;
  /** Factor on the work time of a host's calls during the trigger, for the ideal goodput; 1 when absent. */
  workFactor?: (host: Host) => number;
}

function crashHost(world: World, host: Host | undefined, listener: ChangeListener): void {
  if (host) {
    host.crashed = true;
    host.target.crash();
    listener.onHostChanged(host);
  }
}

function restartHosts(hosts: Host[], listener: ChangeListener, cold: boolean): void {
  for (const host of hosts) {
    if (host.crashed) {
      host.crashed = false;
      host.target.crashed = false;
      if (cold) {
        host.target.restart();
      }
      listener.onHostChanged(host);
    }
  }
}

function scenariosOf(deployment: Deployment): Scenario[] {
  const bottleneck = bottleneckService(deployment).name;
  const base = { deployment, triggerMs: kTriggerMs, loadFactor: 1 };
  const slowFactor = 10;
  return [
    { ...base, name: 'surge-1.5x', loadFactor: 1.5 },
    { ...base, name: 'surge-3x', loadFactor: 3 },
    { ...base, name: 'surge-10x', loadFactor: 10 },
    {
      ...base,
      name: 'deep-slow-10x',
      applyFault: (world) => {
        for (const host of world.hostsOf(bottleneck)) {
          host.target.slowFactor = slowFactor;
        }
      },
      clearFault: (world) => {
        for (const host of world.hostsOf(bottleneck)) {
          host.target.slowFactor = 1;
        }
      },
      workFactor: (host) => (host.service === bottleneck ? slowFactor : 1),
    },
    {
      ...base,
      name: 'targets-die',
      applyFault: (world, listener) => {
        crashHost(world, world.hostsOf(bottleneck)[0], listener);
        world.time.schedule(kTriggerMs / 2, () => {
          crashHost(world, world.hostsOf(deployment.services[1]?.name ?? '')[0], listener);
        });
      },
      clearFault: (world, listener) => {
        restartHosts(world.hosts, listener, false);
      },
    },
    {
      ...base,
      name: 'cold-half',
      applyFault: (world, listener) => {
        const half = world.hosts.filter((_, i) => i % 2 === 0);
        for (const host of half) {
          crashHost(world, host, listener);
        }
        restartHosts(half, listener, true);
      },
    },
    {
      ...base,
      name: 'lying-loads',
      loadFactor: 1.5,
      applyFault: (world) => {
        world.hosts.forEach((host, i) => {
          const overrides = [() => 0, () => 1, (actualLoad: number) => 1 - actualLoad, (actualLoad: number) => actualLoad * 10];
          host.target.reportedLoadOverride = overrides[i % overrides.length];
        });
      },
      clearFault: (world) => {
        for (const host of world.hosts) {
          host.target.reportedLoadOverride = undefined;
        }
      },
    },
    {
      ...base,
      name: 'zone-cut',
      applyFault: (world, listener) => {
        world.setZoneIsolated(deployment.zones[0] ?? '', true);
        listener.onZonesChanged();
      },
      clearFault: (world, listener) => {
        world.setZoneIsolated(deployment.zones[0] ?? '', false);
        listener.onZonesChanged();
      },
    },
    {
      ...base,
      name: 'outage-5s',
      triggerMs: kOutageMs,
      applyFault: (world, listener) => {
        for (const host of world.hostsOf(bottleneck)) {
          crashHost(world, host, listener);
        }
      },
      clearFault: (world, listener) => {
        restartHosts(world.hosts, listener, false);
      },
    },
  ];
}

const kHopFailureRate = 0.02;

const kDeepFailures: Scenario = {
  name: 'deep-28-2pct',
  deployment: kDeepChain,
  triggerMs: kTriggerMs,
  loadFactor: 1,
  applyFault: (world) => {
    for (const host of world.hosts) {
      host.target.failureRate = kHopFailureRate;
    }
  },
  clearFault: (world) => {
    for (const host of world.hosts) {
      host.target.failureRate = 0;
    }
  },
};

export const kScenarios: Scenario[] = [...scenariosOf(kTengerline), ...scenariosOf(kShelters), kDeepFailures];
