/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Settings of one daemon that routes plain HTTP: what it must know before it can reach anything else.
 */

import * as z from 'zod';
import { addressSchema } from './settingsSchema.js';

/** Settings of a routing daemon. */
export const meshSettingsSchema = z.strictObject({
  /** Name of the host, unique in the deployment. */
  id: z.string().min(1).max(120),
  zone: z.string().min(1),
  region: z.string().default(''),
  listen: z.strictObject({
    /** Callers on this host, and the target itself. */
    calls: addressSchema,
    /** Other daemons. */
    peers: addressSchema,
    /** Readiness checks of the platform. */
    ready: addressSchema,
    /** Announcements of the target on this host. */
    announcements: addressSchema,
    /** Metrics as text; none when left out. */
    metrics: addressSchema.optional(),
  }),
  target: z.strictObject({ address: addressSchema, service: z.string().min(1) }),
  log: z.strictObject({
    address: addressSchema,
    /** Whether the whole deployment starts for the first time: daemons then read the log one after the other, and find each other. */
    firstStart: z.boolean().default(false),
  }),
  /** Time within which an accepted configuration has to be in force at every daemon, in milliseconds. */
  inForceMs: z.number().min(500).default(2_000),
  retries: z
    .strictObject({
      /** Repeats per first arrival that a service may get, all daemons together. */
      ratio: z.number().min(0).default(0.2),
      /** Repeats that a service may get beyond that in one window. */
      extra: z.number().min(0).default(10),
      /** Length of a window, in seconds. */
      windowSeconds: z.number().positive().default(10),
    })
    .prefault({}),
  /** How soon a key that was taken away stops working. */
  revocation: z
    .strictObject({
      /** Whether that holds at daemons that are cut off too: they then refuse requests with keys until they know better. */
      strict: z.boolean().default(false),
      /** Time after the acceptance of a version from which on no request with a key that it took away runs, in milliseconds. */
      withinMs: z.number().min(1_000).default(5_000),
    })
    .prefault({}),
  /** What workspaces may have run beyond their rates, while daemons don't know of each other. */
  quotas: z
    .strictObject({
      /** Length of a window, in seconds. */
      windowSeconds: z.number().positive().default(5),
      /** Share of what a window allows that may run beyond it. */
      overage: z.number().min(0).default(0.1),
      /** Requests that may run beyond that. */
      slack: z.number().min(0).default(10),
    })
    .prefault({}),
  /** Time between a planned stop's signal and the moment at which the process is killed, in seconds. */
  stopSeconds: z.number().positive().default(6),
  /** Memory that the process may use, in MiB. */
  memoryMb: z.number().positive().default(256),
  /** Log lines a second that ordinary decisions may take. */
  logLinesPerSecond: z.number().min(0).default(20),
});

/** How soon a key that was taken away stops working. */
export type RevocationSettings = z.infer<typeof meshSettingsSchema>['revocation'];
/** What workspaces may have run beyond their rates. */
export type QuotaSettings = z.infer<typeof meshSettingsSchema>['quotas'];
/** Checked settings of a routing daemon. */
export type MeshSettings = z.infer<typeof meshSettingsSchema>;
