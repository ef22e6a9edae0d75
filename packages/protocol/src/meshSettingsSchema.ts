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
  /** Time between a planned stop's signal and the moment at which the process is killed, in seconds. */
  stopSeconds: z.number().positive().default(6),
  /** Memory that the process may use, in MiB. */
  memoryMb: z.number().positive().default(256),
  /** Log lines a second that ordinary decisions may take. */
  logLinesPerSecond: z.number().min(0).default(20),
});

/** Checked settings of a routing daemon. */
export type MeshSettings = z.infer<typeof meshSettingsSchema>;
