/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { RouteTable } from '@gentiandrum/core';
import { type Route, routeSchema } from '@gentiandrum/protocol';
import fc from 'fast-check';
import { describe, it } from '../support/describe.js';

function route(prefix: string, destinations = [{ service: prefix, weight: 1 }], host = 'app.example'): Route {
  return routeSchema.parse({ name: prefix, host, prefix, destinations, timeoutMs: 1_000, latencyTargetMs: 100 });
}

describe('route table', () => {
  const table = new RouteTable({ routes: [route('/a/'), route('/a/b/'), route('/'), route('/c/', undefined, 'other.example')] });

  it('should choose the longest prefix of the path', (t) => {
    t.is(table.find('app.example', '/a/b/c')?.prefix, '/a/b/');
    t.is(table.find('app.example', '/a/bc')?.prefix, '/a/');
    t.is(table.find('app.example', '/x')?.prefix, '/');
  });

  it('should match whole segments only, and ignore the query string', (t) => {
    t.is(table.find('app.example', '/a')?.prefix, '/');
    t.is(table.find('app.example', '/x?y=/a/b/')?.prefix, '/');
  });

  it('should match a host name regardless of its case and port', (t) => {
    t.is(table.find('APP.example:8080', '/a/1')?.prefix, '/a/');
    t.is(table.find('other.example', '/a/1'), undefined);
    t.is(table.find('none.example', '/a/1'), undefined);
  });

  it('should follow the weights of a split in any sequence of requests', (t) => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 1, maxLength: 5 }),
        fc.integer({ min: 1, max: 300 }),
        (weights, count) => {
          fc.pre(weights.some((weight) => weight > 0));
          const destinations = weights.map((weight, i) => ({ service: `s${i}`, weight }));
          const split = route('/s/', destinations);
          const splits = new RouteTable({ routes: [split] });
          const got = new Map<string, number>();
          for (let i = 0; i < count; i++) {
            const service = splits.nextService(split);
            got.set(service, (got.get(service) ?? 0) + 1);
          }
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          return destinations.every(
            ({ service, weight }) => Math.abs((got.get(service) ?? 0) - (count * weight) / total) <= weights.length,
          );
        },
      ),
    );
    t.pass();
  });

  it('should send no requests to a destination with weight 0', (t) => {
    const split = route('/s/', [
      { service: 'none', weight: 0 },
      { service: 'all', weight: 5 },
    ]);
    const splits = new RouteTable({ routes: [split] });
    t.true(Array.from({ length: 20 }, () => splits.nextService(split)).every((service) => service === 'all'));
  });
});
