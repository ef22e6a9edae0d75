/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { meshConfigSchema, findWorkspaceIssues } from '@gentiandrum/protocol';
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import { describe, it } from '../support/describe.js';

const kExampleUrl = new URL('../../../examples/routes.yaml', import.meta.url);

interface Example {
  routes: { prefix: string; host: string; destinations: { service: string }[] }[];
  services: unknown[];
}

function issuesOf(change: (cfg: Example) => void): string[] {
  const cfg = parse(readFileSync(kExampleUrl, 'utf8')) as Example;
  change(cfg);
  const checked = meshConfigSchema.safeParse(cfg);
  return checked.success ? [] : checked.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
}

describe('configuration of the routing daemon', () => {
  it('should accept the example', (t) => {
    t.deepEqual(
      issuesOf(() => undefined),
      [],
    );
  });

  it('should report a key shared by two workspaces without revealing the key', (t) => {
    const cfg = meshConfigSchema.parse(parse(readFileSync(kExampleUrl, 'utf8')));
    t.deepEqual(findWorkspaceIssues(cfg), []);
    const [first, second] = cfg.workspaces ?? [];
    second?.keys.push(first?.keys[0] ?? '');
    t.deepEqual(findWorkspaceIssues(cfg), ['workspaces.1.keys.1: expected a key of one workspace, got one that crews has too']);
  });

  it('should reject undeclared services, duplicate routes and prefixes without enclosing slashes', (t) => {
    t.deepEqual(
      issuesOf((cfg) => {
        cfg.services.pop();
      }),
      ['routes.1.destinations.1.service: expected a service declared under services, got "switching-next"'],
    );
    t.deepEqual(
      issuesOf((cfg) => {
        cfg.routes.forEach((route) => {
          route.prefix = '/same/';
        });
      }),
      [1, 2].map((at) => `routes.${at}.prefix: expected one route for api.example/same/, got a second`),
    );
    t.deepEqual(
      issuesOf((cfg) => {
        cfg.routes.forEach((route, i) => {
          route.prefix = i === 0 ? '/open' : route.prefix;
        });
      }),
      ['routes.0.prefix: expected a prefix that begins and ends with a slash'],
    );
  });
});
