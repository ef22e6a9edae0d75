/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schema of the routing configuration for plain HTTP callers: routes by host name and path, services, limits and workspaces. */

import * as z from 'zod';

/** Maximum number of destinations of a route. */
const kMaxDestinations = 32;

/** Service that receives a share of a route's requests. */
export const destinationSchema = z.strictObject({
  service: z.string().min(1),
  /** Weight relative to the other destinations of the route. */
  weight: z.number().min(0),
});

/** Route: which requests match it, where they are sent and how they are handled. */
export const routeSchema = z.strictObject({
  name: z.string().min(1),
  /** Host name from the request, in lower case and without a port. */
  host: z.string().min(1),
  /** Path prefix; the longest matching prefix wins. */
  prefix: z.string().regex(/^\/(.*\/)?$/, 'expected a prefix that begins and ends with a slash'),
  destinations: z.array(destinationSchema).min(1).max(kMaxDestinations),
  /** Whether a request may be executed more than once. */
  idempotent: z.boolean().default(false),
  /** Maximum time until the final response, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Latency target of the response, in milliseconds. */
  latencyTargetMs: z.number().positive(),
  /** Maximum number of attempts of one request that may reach a target. */
  maxAttempts: z.int().min(1).default(1),
  /** Priority under overload; 0 is the highest. */
  priority: z.int().min(0).default(0),
  /** Whether requests need no key even if workspaces are configured. */
  exempt: z.boolean().default(false),
});

/** Workspace: its keys, priority and quota. */
export const workspaceSchema = z.strictObject({
  name: z.string().min(1),
  /** Keys that authenticate its callers; several are allowed, so that keys can be rotated. */
  keys: z.array(z.string().min(1)),
  /** Priority under overload, which precedes that of the route; 0 is the highest. */
  priority: z.int().min(0).default(0),
  /** Requests per second over all daemons; if unset, there is no limit. */
  ratePerSecond: z.number().positive().optional(),
  /** Requests that may exceed the rate in a burst. */
  burst: z.number().min(0).default(0),
});

/** Properties that all targets of a service share. */
export const meshServiceSchema = z.strictObject({
  name: z.string().min(1),
  /** Maximum number of connections that one target accepts from all hosts. */
  maxConnections: z.int().min(1),
});

/** Limits on the requests and connections of callers. */
export const callerLimitsSchema = z.strictObject({
  headerBytes: z.int().min(256),
  bodyBytes: z.int().min(0),
  /** Timeout for receiving the head of a request, in milliseconds. */
  headerTimeoutMs: z.int().min(1),
  /** Idle timeout of a connection, in milliseconds. */
  idleTimeoutMs: z.int().min(1),
});

export const meshConfigSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    services: z.array(meshServiceSchema),
    limits: callerLimitsSchema,
    /** If unset, requests need no key. */
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

/** Returns the issues that the schema accepts because daemons tolerate them, but that authors of a configuration should resolve. */
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

export type MeshConfig = z.infer<typeof meshConfigSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Destination = z.infer<typeof destinationSchema>;
