/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Settings of one daemon: what it must know before it can reach anything else.
 */

import * as z from 'zod';

/** Host and port, such as `10.1.2.3:7400`. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IPv4 address and a port, such as 10.1.2.3:7400');

const kKiB = 1024;
const kMiB = kKiB * kKiB;

/** Settings of `gentiandrumd`. */
export const settingsSchema = z.strictObject({
  /** Name of the daemon, unique in the deployment; the host's name does. */
  id: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name'),
  listen: addressSchema,
  /** Address that other daemons use; the listening address unless set. */
  advertise: addressSchema.optional(),
  zone: z.string().min(1).max(63),
  region: z.string().min(1).max(63),
  /** Base address of the platform's log. */
  log: z.url(),
  /** Daemons to ask when the log is down at a cold start. */
  seeds: z.array(addressSchema).default([]),
  /** Address of the statsd collector; without it no metrics are sent. */
  statsd: addressSchema.optional(),
  /** Secret that signs chain tokens; the same on every daemon of the deployment. */
  chainSecret: z.string().min(16, 'expected at least 16 characters').max(200),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  limits: z
    .strictObject({
      bodyBytes: z
        .int()
        .min(kKiB)
        .max(256 * kMiB)
        .default(4 * kMiB),
      /** Bytes of recorded answers kept for repeats. */
      answerBytes: z
        .int()
        .min(kMiB)
        .max(1024 * kMiB)
        .default(16 * kMiB),
      /** Bytes of bodies held for requests in flight. */
      inFlightBytes: z
        .int()
        .min(kMiB)
        .max(4096 * kMiB)
        .default(128 * kMiB),
      claimShards: z.int().min(1).max(1024).default(16),
      /** Claims remembered per shard. */
      claimsPerShard: z.int().min(100).max(10_000_000).default(20_000),
      /** Time for a planned stop before what still runs is cut; 0 waits without limit. */
      stopMs: z.int().min(0).max(3_600_000).default(0),
      /** Time without an announcement after which a target counts as gone. */
      announceTimeoutMs: z.int().min(500).max(60_000).default(5_000),
    })
    .prefault({}),
});

/** Checked settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
