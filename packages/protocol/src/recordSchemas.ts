/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schemas of the JSON records in the streams that the daemons keep in the platform's log. */

import * as z from 'zod';
import { shallowValueSchema } from './nesting.js';

/** Stream of configuration patches. */
export const kConfigStream = 'gentiandrum.config';
/** Stream of configuration snapshots. */
export const kSnapshotStream = 'gentiandrum.snapshots';
/** Stream in which daemons register when they start. */
export const kMembersStream = 'gentiandrum.members';

/** Returns the name of the stream with the claims of a shard. */
export function claimStreamName(shard: number): string {
  return `gentiandrum.claims.${shard}`;
}

/** Patch submitted by an operator. Its position in the stream decides whether it is accepted. */
export const patchRecordSchema = z.object({
  patchId: z.string().min(8).max(64),
  base: z.int().min(0),
  author: z.string().max(100),
  /** RFC 7396 merge patch. */
  patch: z.record(z.string(), shallowValueSchema),
});

/** Configuration that results from all patches below an offset of the configuration stream. */
export const snapshotRecordSchema = z.object({
  /** Offset of the first record that the snapshot does not include. */
  offset: z.int().min(0),
  version: z.int().min(0),
  config: shallowValueSchema,
  recentPatches: z.array(z.object({ patchId: z.string(), verdict: shallowValueSchema })),
  digest: z.string(),
});

/** Registration of a daemon. */
export const memberRecordSchema = z.object({
  id: z.string(),
  incarnation: z.int(),
  address: z.string(),
  zone: z.string(),
  region: z.string(),
  /** Set when the daemon deregisters in a graceful shutdown. */
  goodbye: z.boolean().optional(),
});

/** Claim of a daemon to run the call with this key. The first claim of a key in its stream wins. */
export const claimRecordSchema = z.object({
  key: z.string(),
  nonce: z.string(),
  claimant: z.string(),
  address: z.string(),
  body: z.string(),
  /** Set when the claimant releases the key because the call was not run. */
  released: z.boolean().optional(),
});

/** Entry of a claims stream: claims that one daemon appended in a batch. */
export const claimBatchSchema = z.array(claimRecordSchema).min(1);

/** Response of the log to an append. */
export const appendResponseSchema = z.object({ offset: z.int().min(0) });
/** Response of the log to a read. */
export const readResponseSchema = z.object({
  records: z.array(z.object({ offset: z.int().min(0), value: z.unknown() })),
  next: z.int().min(0),
  oldest: z.int().min(0),
});

export type PatchRecord = z.infer<typeof patchRecordSchema>;
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type ReadResponse = z.infer<typeof readResponseSchema>;
