/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Assigns calls to the request classes of a configuration. */

import type { Config, RequestClass } from '@gentiandrum/protocol';

/** A request class with its name. */
export interface NamedClass extends RequestClass {
  name: string;
}

interface Rule {
  cls: NamedClass;
  methods: ReadonlySet<string>;
  segments: readonly string[];
}

/** Matches calls against the classes of one configuration, the most specific pattern first, regardless of their order in it. */
export class Classifier {
  private readonly _rules = new Map<string, Rule[]>();

  constructor(cfg: Config) {
    for (const service of Object.keys(cfg.services)) {
      this._rules.set(service, []);
    }
    for (const [name, cls] of Object.entries(cfg.classes)) {
      this._rules.get(cls.service)?.push({ cls: { ...cls, name }, methods: new Set(cls.methods), segments: splitPath(cls.path) });
    }
    for (const rules of this._rules.values()) {
      rules.sort((a, b) => specificity(b) - specificity(a) || (a.cls.name < b.cls.name ? -1 : 1));
    }
  }

  hasService(service: string): boolean {
    return this._rules.has(service);
  }

  /** Returns the class of a call, or undefined if none matches. `path` has no query string. */
  classify(service: string, method: string, path: string): NamedClass | undefined {
    const segments = splitPath(path);
    return this._rules.get(service)?.find((rule) => matches(rule, method, segments))?.cls;
  }
}

function splitPath(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

function specificity(rule: Rule): number {
  const literal = rule.segments.filter((segment) => !segment.startsWith('*')).length;
  const exactLength = rule.segments.at(-1) === '**' ? 0 : 1;
  return literal * 4 + exactLength * 2 + (rule.methods.size > 0 ? 1 : 0);
}

function matches(rule: Rule, method: string, segments: readonly string[]): boolean {
  if (rule.methods.size > 0 && !rule.methods.has(method)) {
    return false;
  }
  const openEnded = rule.segments.at(-1) === '**';
  const prefix = openEnded ? rule.segments.slice(0, -1) : rule.segments;
  if (openEnded ? segments.length < prefix.length : segments.length !== prefix.length) {
    return false;
  }
  return prefix.every((segment, i) => segment === '*' || segment === segments[i]);
}
