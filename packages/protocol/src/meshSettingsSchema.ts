/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schema of the settings file of the routing daemon, which it reads when it starts. */

import * as z from 'zod';
import { addressSchema } from './settingsSchema.js';

export const meshSettingsSchema = z.strictObject({
  /** Name of the host, unique in the deployment. */
  id: z.string().min(1).max(120),
  zone: z.string().min(1),
  region: z.string().default(''),
  listen: z.strictObject({
    /** Calls from callers and from the local target. */
    calls: addressSchema,
    /** Connections from other daemons. */
    peers: addressSchema,
    /** Readiness probes of the platform. */
    ready: addressSchema,
    /** Announcements of the local target. */
    announcements: addressSchema,
    /** Metrics in text format; if unset, no metrics are exposed. */
    metrics: addressSchema.optional(),
  }),
  target: z.strictObject({ address: addressSchema, service: z.string().min(1) }),
  log: z.strictObject({
    address: addressSchema,
    /** Whether this is the initial start of the deployment. Daemons then delay their first reads of the log randomly. */
    firstStart: z.boolean().default(false),
  }),
  /** Time within which an accepted configuration must be in force on every daemon, in milliseconds. */
  inForceMs: z.number().min(500).default(2_000),
  retries: z
    .strictObject({
      /** Retries per first attempt that a service may receive from all daemons. */
      ratio: z.number().min(0).default(0.2),
      /** Additional retries that a service may receive in one window. */
      extra: z.number().min(0).default(10),
      windowSeconds: z.number().positive().default(10),
    })
    .prefault({}),
  /** Limits on how long a removed key stays valid. */
  revocation: z
    .strictObject({
      /** Whether the limit also holds on daemons that cannot prove their configuration current; these refuse requests with keys. */
      strict: z.boolean().default(false),
      /** Time after the acceptance of a version within which daemons stop accepting the keys that it removes, in milliseconds. */
      withinMs: z.number().min(1_000).default(5_000),
    })
    .prefault({}),
  /** Limits on how far workspaces may exceed their rates while daemons cannot coordinate. */
  quotas: z
    .strictObject({
      windowSeconds: z.number().positive().default(5),
      /** Allowed excess, as a fraction of the requests of one window. */
      overage: z.number().min(0).default(0.1),
      /** Additional requests allowed beyond that excess. */
      slack: z.number().min(0).default(10),
    })
    .prefault({}),
  /** Parts of the load control that are on; see docs/LOAD-CONTROL.md. */
  load: z
    .strictObject({
      /** Whether calls wait only as long as their chain can bear, and requests that cannot end in time are refused. */
      chainTime: z.boolean().default(false),
      /** Whether calls of targets are matched to the runs that make them. */
      callParents: z.boolean().default(false),
      /** Whether the load that targets state is used. */
      statedLoad: z.boolean().default(false),
      /** Whether ingresses choose targets by their current speed, with a weighted draw among the nearly equal ones. */
      speedChoice: z.boolean().default(false),
      /** Whether the admitted share of requests follows losses of capacity at once. */
      followRoom: z.boolean().default(false),
      /** Whether capacity under overload is shared among workspaces by quota. */
      fairShares: z.boolean().default(false),
      /** Whether quotas are counted over sliding windows. */
      windowQuotas: z.boolean().default(false),
      /** Whether the repeat budget prefers urgent calls. */
      rankedRepeats: z.boolean().default(false),
    })
    .prefault({}),
  /** Time between the signal for a graceful shutdown and the kill of the process, in seconds. */
  stopSeconds: z.number().positive().default(6),
  /** Memory limit of the process, in MiB. */
  memoryMb: z.number().positive().default(256),
  /** Maximum number of log lines per second for routine decisions. */
  logLinesPerSecond: z.number().min(0).default(20),
});

export type RevocationSettings = z.infer<typeof meshSettingsSchema>['revocation'];
export type QuotaSettings = z.infer<typeof meshSettingsSchema>['quotas'];
export type LoadSettings = z.infer<typeof meshSettingsSchema>['load'];
export type MeshSettings = z.infer<typeof meshSettingsSchema>;
