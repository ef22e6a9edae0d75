/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Records of the project's streams in the platform's log. All are JSON values, one per append entry.
 */

import * as z from 'zod';

/** Stream that orders the operators' patches. */
export const kConfigStream = 'gentiandrum.config';
/** Stream with configuration snapshots. */
export const kSnapshotStream = 'gentiandrum.snapshots';
/** Stream in which daemons make themselves known at start. */
export const kMembersStream = 'gentiandrum.members';

/** Name of the stream that orders the claims of one shard. */
export function claimStreamName(shard: number): string {
  return `gentiandrum.claims.${shard}`;
}

/** A patch that an operator submitted; whether it was accepted follows from its place in the stream. */
export const patchRecordSchema = z.object({
  patchId: z.string().min(8).max(64),
  base: z.int().min(0),
  author: z.string().max(100),
  /** RFC 7396 merge patch. */
  patch: z.record(z.string(), z.unknown()),
});

/** The folded configuration as of an offset of the configuration stream. */
export const snapshotRecordSchema = z.object({
  /** Offset of the next record to fold. */
  offset: z.int().min(0),
  version: z.int().min(0),
  config: z.unknown(),
  recentPatches: z.array(z.object({ patchId: z.string(), verdict: z.unknown() })),
  digest: z.string(),
});

/** A daemon that started. */
export const memberRecordSchema = z.object({
  id: z.string(),
  incarnation: z.int(),
  address: z.string(),
  zone: z.string(),
  region: z.string(),
  /** Set when the daemon says goodbye at a planned stop. */
  goodbye: z.boolean().optional(),
});

/** A daemon's claim to run the call with this key. The first claim of a key in its stream is the one that counts. */
export const claimRecordSchema = z.object({
  key: z.string(),
  nonce: z.string(),
  claimant: z.string(),
  address: z.string(),
  body: z.string(),
  /** Set in a record by which the claimant gives the key back: the call was not run. */
  released: z.boolean().optional(),
});

/** One entry of a claims stream: the claims that a daemon appended together. */
export const claimBatchSchema = z.array(claimRecordSchema).min(1);

/** Answer of the log to an append. */
export const appendResponseSchema = z.object({ offset: z.int().min(0) });
/** Answer of the log to a read. */
export const readResponseSchema = z.object({
  records: z.array(z.object({ offset: z.int().min(0), value: z.unknown() })),
  next: z.int().min(0),
  oldest: z.int().min(0),
});

/** Checked patch record. */
export type PatchRecord = z.infer<typeof patchRecordSchema>;
/** Checked snapshot record. */
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
/** Checked claim record. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
/** Checked answer of the log to a read. */
export type ReadResponse = z.infer<typeof readResponseSchema>;
