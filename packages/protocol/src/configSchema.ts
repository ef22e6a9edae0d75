/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schema of the configuration that operators change by patches. */

import * as z from 'zod';

/** Version of this schema. Daemons reject a configuration with a newer one, so that all daemons apply patches by the same rules. */
export const kConfigSchemaVersion = 1;

/** Importance levels of request classes, most important first. */
export const kImportances = ['critical', 'high', 'normal', 'low'] as const;

/** Maximum depth of a call chain. */
export const kMaxChainDepth = 64;

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name of at most 63 letters, digits, dots and dashes');

/** Request class: which requests match it and how they are handled. */
export const requestClassSchema = z.strictObject({
  service: nameSchema,
  /** HTTP methods that match; empty matches every method. */
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'expected an upper-case HTTP method')).default([]),
  /** Path pattern: `*` matches one segment, a trailing `**` matches the rest. */
  path: z.string().startsWith('/', 'expected a path that starts with /').default('/**'),
  importance: z.enum(kImportances).default('normal'),
  idempotent: z.boolean().default(false),
  /** Timeout of the whole request in milliseconds; a caller may set a shorter one. */
  deadlineMs: z.int().min(10).max(600_000).default(5_000),
  /** Maximum number of retries of one request over its whole call chain. */
  retries: z.int().min(0).max(32).default(0),
  /** Time in milliseconds after which a pending attempt is hedged by a second one; only for idempotent classes. */
  attemptTimeoutMs: z.int().min(10).max(600_000).optional(),
});

/** Administrative state of a target: whether it accepts new requests. */
export const targetIntakeSchema = z.enum(['serving', 'leaving']);

/** Schema of the whole configuration. Entries are in maps rather than lists, so that a merge patch can address one of them. */
export const configSchema = z
  .strictObject({
    schema: z
      .int()
      .min(1)
      .max(kConfigSchemaVersion, `expected a schema of at most ${kConfigSchemaVersion}; upgrade the daemons first`)
      .default(1),
    classes: z.record(nameSchema, requestClassSchema).default({}),
    services: z.record(nameSchema, z.strictObject({ description: z.string().max(200).default('') })).default({}),
    targets: z.record(nameSchema, targetIntakeSchema).default({}),
    overload: z.strictObject({ favour: z.enum(['goodput', 'recovery']).default('goodput') }).default({ favour: 'goodput' }),
    /** Retries that a daemon may add for one service, as a ratio of its first attempts. */
    retryRatio: z.number().min(0).max(1).default(0.1),
  })
  .superRefine((cfg, ctx) => {
    for (const [name, cls] of Object.entries(cfg.classes)) {
      if (!cls.idempotent && cls.attemptTimeoutMs !== undefined) {
        ctx.addIssue({
          code: 'custom',
          path: ['classes', name, 'attemptTimeoutMs'],
          message: 'expected no attemptTimeoutMs on a class that is not idempotent',
        });
      }
      if (!(cls.service in cfg.services)) {
        ctx.addIssue({
          code: 'custom',
          path: ['classes', name, 'service'],
          message: `expected a service declared under services, got "${cls.service}"`,
        });
      }
    }
  });

export type Config = z.infer<typeof configSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
export type Importance = (typeof kImportances)[number];
export type TargetIntake = z.infer<typeof targetIntakeSchema>;
