/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What goes wrong, when, and for how long. */

import { type Deployment, kDeepChain, kShelters, kTengerline, narrowService } from './deployment.js';
import type { Host, World } from './world.js';

/** Times of a run, in milliseconds: quiet, then the trigger, then quiet again. */
export const kTriggerAt = 6_000;
const kTriggerMs = 20_000;
const kOutageMs = 5_000;
/** Quiet time after the trigger in which recovery is looked for. */
export const kAfterMs = 12_000;

/** A change of the world that a policy may have to be told of. */
export interface Changes {
  hostChanged: (host: Host) => void;
  zoneChanged: () => void;
}

/** One scenario. */
export interface Scenario {
  name: string;
  deployment: Deployment;
  /** Length of the trigger, in milliseconds. */
  triggerMs: number;
  /** Factor on the offered load during the trigger. */
  surge: number;
  begin?: (world: World, changes: Changes) => void;
  end?: (world: World, changes: Changes) => void;
  /** Whether the capacity during the trigger is less than the world's, for the ideal: work factor by host. */
  workFactor?: (host: Host) => number;
}

function die(world: World, host: Host | undefined, changes: Changes): void {
  if (host) {
    host.dead = true;
    host.target.die();
    changes.hostChanged(host);
  }
}

function revive(hosts: Host[], changes: Changes, cold: boolean): void {
  for (const host of hosts) {
    if (host.dead) {
      host.dead = false;
      host.target.dead = false;
      if (cold) {
        host.target.restart();
      }
      changes.hostChanged(host);
    }
  }
}

function scenariosOf(deployment: Deployment): Scenario[] {
  const narrow = narrowService(deployment).name;
  const base = { deployment, triggerMs: kTriggerMs, surge: 1 };
  const slow = 10;
  return [
    { ...base, name: 'surge-1.5x', surge: 1.5 },
    { ...base, name: 'surge-3x', surge: 3 },
    { ...base, name: 'surge-10x', surge: 10 },
    {
      ...base,
      name: 'deep-slow-10x',
      begin: (world) => {
        for (const host of world.hostsOf(narrow)) {
          host.target.slowFactor = slow;
        }
      },
      end: (world) => {
        for (const host of world.hostsOf(narrow)) {
          host.target.slowFactor = 1;
        }
      },
      workFactor: (host) => (host.service === narrow ? slow : 1),
    },
    {
      ...base,
      name: 'targets-die',
      begin: (world, changes) => {
        die(world, world.hostsOf(narrow)[0], changes);
        world.time.after(kTriggerMs / 2, () => {
          die(world, world.hostsOf(deployment.services[1]?.name ?? '')[0], changes);
        });
      },
      end: (world, changes) => {
        revive(world.hosts, changes, false);
      },
    },
    {
      ...base,
      name: 'cold-half',
      begin: (world, changes) => {
        const half = world.hosts.filter((_, i) => i % 2 === 0);
        for (const host of half) {
          die(world, host, changes);
        }
        revive(half, changes, true);
      },
    },
    {
      ...base,
      name: 'lying-loads',
      surge: 1.5,
      begin: (world) => {
        world.hosts.forEach((host, i) => {
          const lies = [() => 0, () => 1, (truth: number) => 1 - truth, (truth: number) => truth * 10];
          host.target.lie = lies[i % lies.length];
        });
      },
      end: (world) => {
        for (const host of world.hosts) {
          host.target.lie = undefined;
        }
      },
    },
    {
      ...base,
      name: 'zone-cut',
      begin: (world, changes) => {
        world.cut(deployment.zones[0] ?? '', true);
        changes.zoneChanged();
      },
      end: (world, changes) => {
        world.cut(deployment.zones[0] ?? '', false);
        changes.zoneChanged();
      },
    },
    {
      ...base,
      name: 'outage-5s',
      triggerMs: kOutageMs,
      begin: (world, changes) => {
        for (const host of world.hostsOf(narrow)) {
          die(world, host, changes);
        }
      },
      end: (world, changes) => {
        revive(world.hosts, changes, false);
      },
    },
  ];
}

const kHopFailures = 0.02;

const kDeepFailures: Scenario = {
  name: 'deep-28-2pct',
  deployment: kDeepChain,
  triggerMs: kTriggerMs,
  surge: 1,
  begin: (world) => {
    for (const host of world.hosts) {
      host.target.failureRate = kHopFailures;
    }
  },
  end: (world) => {
    for (const host of world.hosts) {
      host.target.failureRate = 0;
    }
  },
};

/** All scenarios. */
export const kScenarios: Scenario[] = [...scenariosOf(kTengerline), ...scenariosOf(kShelters), kDeepFailures];
