/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { type Candidate, Classifier, seededRandom, TargetPicker } from '@gentiandrum/core';
import { configSchema } from '@gentiandrum/protocol';
import { describe, it } from '../support/describe.js';

const kLater = 60_000;

function candidate(target: string, zone: string, region = 'one'): Candidate {
  return { target, zone, region, daemon: target, incarnation: 1, address: target, service: 's', slots: 10 };
}

function pickMany(picker: TargetPicker, candidates: Candidate[], count: number): Map<string, number> {
  const picked = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const choice = picker.pick(candidates, new Set(), kLater);
    if (choice) {
      choice.stats.recordOffer();
      picked.set(choice.candidate.zone, (picked.get(choice.candidate.zone) ?? 0) + 1);
    }
  }
  return picked;
}

function warmPicker(candidates: Candidate[]): TargetPicker {
  const picker = new TargetPicker('east', 'one', seededRandom(3));
  candidates.forEach((each) => picker.statsOf(each, 0));
  return picker;
}

describe('a target picker', () => {
  it('should stay in the local zone while that has capacity, and use other zones when it has none', (t) => {
    const candidates = [candidate('e1', 'east'), candidate('e2', 'east'), candidate('w1', 'west'), candidate('w2', 'west')];
    const picker = warmPicker(candidates);
    t.deepEqual([...pickMany(picker, candidates, 5).keys()], ['east']);
    t.true((pickMany(picker, candidates, 40).get('west') ?? 0) > 10);
  });

  it('should prefer targets in the local region', (t) => {
    const candidates = [candidate('e1', 'east'), candidate('n1', 'north', 'two')];
    t.deepEqual([...pickMany(warmPicker(candidates), candidates, 9).keys()], ['east']);
    t.is(new TargetPicker('east', 'one', seededRandom(3)).pick([candidate('n1', 'north', 'two')], new Set(), 0)?.reason, 'other_region');
  });

  it('should eject a failing target, up to the cap on ejected targets', (t) => {
    const candidates = ['e1', 'e2', 'e3'].map((name) => candidate(name, 'east'));
    const picker = warmPicker(candidates);
    for (const failing of candidates) {
      for (let i = 0; i < 20; i++) {
        picker.recordFailure(failing, candidates, kLater);
      }
    }
    const ejected = candidates.filter((each) => picker.statsOf(each, kLater).isEjected(kLater)).length;
    t.is(ejected, 1);
  });

  it('should exclude the targets that were tried', (t) => {
    const candidates = ['e1', 'e2'].map((name) => candidate(name, 'east'));
    t.is(warmPicker(candidates).pick(candidates, new Set(['e1']), kLater)?.candidate.target, 'e2');
    t.is(warmPicker(candidates).pick(candidates, new Set(['e1', 'e2']), kLater), undefined);
  });

  it('should give an older load report less weight', (t) => {
    const picker = warmPicker([candidate('e1', 'east')]);
    const stats = picker.statsOf(candidate('e1', 'east'), 0);
    stats.recordReport(100, 10, 0);
    t.true(stats.utilisation(0) >= 10);
    t.is(stats.utilisation(1_000), 0);
  });
});

describe('a classifier', () => {
  const cfg = configSchema.parse({
    services: { s: {} },
    classes: {
      any: { service: 's' },
      read: { service: 's', methods: ['GET'] },
      span: { service: 's', methods: ['GET'], path: '/spans/*/history' },
    },
  });

  it('should choose the most specific class, regardless of the order of the classes', (t) => {
    const classifier = new Classifier(cfg);
    t.is(classifier.classify('s', 'GET', '/spans/7/history')?.name, 'span');
    t.is(classifier.classify('s', 'GET', '/spans/7')?.name, 'read');
    t.is(classifier.classify('s', 'POST', '/spans/7')?.name, 'any');
    t.is(classifier.classify('other', 'GET', '/'), undefined);
  });
});
