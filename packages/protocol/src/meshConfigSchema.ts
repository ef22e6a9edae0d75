/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The routing configuration of a deployment whose callers speak plain HTTP: routes by host name and path, and limits.
 */

import * as z from 'zod';

/** Most destinations that one route may be split over. */
const kMaxDestinations = 32;

/** One share of a route's requests. */
export const destinationSchema = z.strictObject({
  service: z.string().min(1),
  /** Share of the requests, relative to the other destinations of the route. */
  weight: z.number().min(0),
});

/** One route: which requests it takes, where they go, and how they are treated. */
export const routeSchema = z.strictObject({
  name: z.string().min(1),
  /** Host name that callers send, in lower case and without a port. */
  host: z.string().min(1),
  /** Prefix of the path; the longest one that matches wins. */
  prefix: z.string().regex(/^\/(.*\/)?$/, 'expected a prefix that begins and ends with a slash'),
  destinations: z.array(destinationSchema).min(1).max(kMaxDestinations),
  /** Whether a request may run more than once. */
  idempotent: z.boolean().default(false),
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer is of full use to the caller, in milliseconds. */
  latencyTargetMs: z.number().positive(),
  /** Targets that one request may be sent to. */
  maxAttempts: z.int().min(1).default(1),
  /** Rank under overload; 0 is served first. */
  priority: z.int().min(0).default(0),
  /** Whether requests need no key, though there are workspaces. */
  exempt: z.boolean().default(false),
});

/** A workspace: whose requests they are, and how many it may have run. */
export const workspaceSchema = z.strictObject({
  name: z.string().min(1),
  /** Keys that its callers send; several, so that one can be taken away after another was given out. */
  keys: z.array(z.string().min(1)),
  /** Rank of its requests under overload, before that of their routes; 0 is served first. */
  priority: z.int().min(0).default(0),
  /** Requests a second that may run, over all daemons together; without one there is no limit. */
  ratePerSecond: z.number().positive().optional(),
  /** Requests that may run beyond that at once. */
  burst: z.number().min(0).default(0),
});

/** What is known of a service beyond its targets. */
export const meshServiceSchema = z.strictObject({
  name: z.string().min(1),
  /** Connections that one target accepts from everybody together. */
  maxConnections: z.int().min(1),
});

/** Bounds on what callers send. */
export const callerLimitsSchema = z.strictObject({
  headerBytes: z.int().min(256),
  bodyBytes: z.int().min(0),
  /** Time in which the head of a request has to arrive, in milliseconds. */
  headerTimeoutMs: z.int().min(1),
  /** Time for which a connection may stay idle, in milliseconds. */
  idleTimeoutMs: z.int().min(1),
});

/** The whole routing configuration. */
export const meshConfigSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    services: z.array(meshServiceSchema),
    limits: callerLimitsSchema,
    /** Without this list requests need no key. */
    workspaces: z.array(workspaceSchema).optional(),
  })
  .superRefine((cfg, ctx) => {
    const services = new Set(cfg.services.map(({ name }) => name));
    const usedPrefixes = new Set<string>();
    for (const [i, route] of cfg.routes.entries()) {
      const hostAndPrefix = `${route.host}${route.prefix}`;
      if (usedPrefixes.has(hostAndPrefix)) {
        ctx.addIssue({ code: 'custom', path: ['routes', i, 'prefix'], message: `expected one route for ${hostAndPrefix}, got a second` });
      }
      usedPrefixes.add(hostAndPrefix);
      for (const [k, { service }] of route.destinations.entries()) {
        if (!services.has(service)) {
          const message = `expected a service declared under services, got "${service}"`;
          ctx.addIssue({ code: 'custom', path: ['routes', i, 'destinations', k, 'service'], message });
        }
      }
    }
  });

/** Faults of a configuration that daemons live with, as refusing all of it would serve nobody; for those who write it. */
export function findWorkspaceIssues(cfg: Pick<MeshConfig, 'workspaces'>): string[] {
  const issues: string[] = [];
  const names = new Set<string>();
  const owners = new Map<string, string>();
  for (const [i, { name, keys }] of (cfg.workspaces ?? []).entries()) {
    if (names.has(name)) {
      issues.push(`workspaces.${i}.name: expected one workspace named ${name}, got a second`);
    }
    names.add(name);
    for (const [k, key] of keys.entries()) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        issues.push(`workspaces.${i}.keys.${k}: expected a key of one workspace, got one that ${owner} has too`);
      }
      owners.set(key, owner ?? name);
    }
  }
  return issues;
}

/** A checked routing configuration. */
export type MeshConfig = z.infer<typeof meshConfigSchema>;
/** A checked route. */
export type Route = z.infer<typeof routeSchema>;
/** A checked workspace. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** A share of a route's requests. */
export type Destination = z.infer<typeof destinationSchema>;
