/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schema of the settings file of `gentiandrumd`, which a daemon reads when it starts. */

import * as z from 'zod';

const kMaxOctet = 255;
const kMaxPort = 65_535;

/** IPv4 address and port, such as `10.1.2.3:7400`. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IPv4 address and a port, such as 10.1.2.3:7400')
  .refine((address) => {
    const [host = '', port = ''] = address.split(':');
    return Number(port) <= kMaxPort && host.split('.').every((octet) => Number(octet) <= kMaxOctet);
  }, `expected numbers up to ${kMaxOctet} in the address, and a port up to ${kMaxPort}`);

const kKiB = 1024;
const kMiB = kKiB * kKiB;

export const settingsSchema = z.strictObject({
  /** Name of the daemon, unique in the deployment, such as the host name. */
  id: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name'),
  listen: addressSchema,
  /** Address at which other daemons reach this one; defaults to `listen`. */
  advertise: addressSchema.optional(),
  zone: z.string().min(1).max(63),
  region: z.string().min(1).max(63),
  /** Base URL of the platform's log. */
  log: z.url(),
  /** Addresses of daemons to query when the log is unavailable on a cold start. */
  seeds: z.array(addressSchema).default([]),
  /** Address of the statsd collector; if unset, no metrics are sent. */
  statsd: addressSchema.optional(),
  /** Secret that signs chain tokens; must be the same on every daemon of the deployment. */
  chainSecret: z.string().min(16, 'expected at least 16 characters').max(200),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  limits: z
    .strictObject({
      bodyBytes: z
        .int()
        .min(kKiB)
        .max(256 * kMiB)
        .default(4 * kMiB),
      /** Maximum size of all recorded responses kept for repeated requests. */
      answerBytes: z
        .int()
        .min(kMiB)
        .max(1024 * kMiB)
        .default(16 * kMiB),
      /** Maximum size of all bodies of requests in flight, and of all bodies of their responses. */
      inFlightBytes: z
        .int()
        .min(kMiB)
        .max(4096 * kMiB)
        .default(128 * kMiB),
      claimShards: z.int().min(1).max(1024).default(16),
      /** Maximum number of claims kept in memory per shard. */
      claimsPerShard: z.int().min(100).max(10_000_000).default(20_000),
      /** Time in milliseconds after which a graceful shutdown aborts the calls in flight; 0 disables the limit. */
      stopMs: z.int().min(0).max(3_600_000).default(0),
      /** Time in milliseconds without an announcement after which a target is considered gone. */
      announceTimeoutMs: z.int().min(500).max(60_000).default(5_000),
    })
    .prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
