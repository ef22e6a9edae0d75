/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The configuration that operators submit as patches, and the one source of its types.
 */

import * as z from 'zod';

/** Version of the rules below. Daemons refuse a configuration of a newer schema, so that all fold alike. */
export const kConfigSchemaVersion = 1;

/** Importance of a request class, most important first. */
export const kImportances = ['critical', 'high', 'normal', 'low'] as const;

/** Longest chain that is served, in calls. */
export const kMaxChainDepth = 64;

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name of at most 63 letters, digits, dots and dashes');

/** One request class: which requests it takes, and how they are treated. */
export const requestClassSchema = z.strictObject({
  service: nameSchema,
  /** HTTP methods; none means every method. */
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'expected an upper-case HTTP method')).default([]),
  /** Path pattern: `*` stands for one segment, a closing `**` for the rest. */
  path: z.string().startsWith('/', 'expected a path that starts with /').default('/**'),
  importance: z.enum(kImportances).default('normal'),
  idempotent: z.boolean().default(false),
  /** Time for the whole request in milliseconds, unless the caller allows less. */
  deadlineMs: z.int().min(10).max(600_000).default(5_000),
  /** Retries that one request of this class may spend over its whole chain. */
  retries: z.int().min(0).max(32).default(0),
  /** Time after which an unanswered attempt gets a competitor, in milliseconds; only for idempotent classes. */
  attemptTimeoutMs: z.int().min(10).max(600_000).optional(),
});

/** Intake state that an operator gives a target. */
export const targetIntakeSchema = z.enum(['serving', 'leaving']);

/** The whole configuration. Maps, not lists, so that a merge patch can address one entry. */
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
    /** Retries per first attempt that a daemon may add for one service, over time. */
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

/** A checked configuration. */
export type Config = z.infer<typeof configSchema>;
/** A checked request class. */
export type RequestClass = z.infer<typeof requestClassSchema>;
/** Name of an importance. */
export type Importance = (typeof kImportances)[number];
/** What an operator has said of a target. */
export type TargetIntake = z.infer<typeof targetIntakeSchema>;
