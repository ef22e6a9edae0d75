/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Computes the configuration from the stream of patches.
 *
 * Every daemon folds the same records in the same order with the same rules, so all daemons reach the same version without further
 * coordination. A patch is accepted when its base is the current version and the result is valid.
 */

import { type Config, type SnapshotRecord, configSchema, patchRecordSchema, snapshotRecordSchema } from '@gentiandrum/protocol';
import { mergePatch } from './mergePatch.js';

/** Number of patch ids with a stored verdict, for submitters that lost the reply. */
const kMaxRecentPatches = 1_000;
/** Number of versions kept for `get --at` and `history`. */
const kMaxHistoryEntries = 100;

/** Verdict on a patch. */
export type PatchVerdict =
  | { kind: 'accepted'; version: number }
  | { kind: 'conflict'; current: number; wonBy: string }
  | { kind: 'invalid'; issues: { path: string; message: string }[] };

/** One accepted version. */
export interface HistoryEntry {
  version: number;
  author: string;
  patchId: string;
  config: unknown;
}

/** Configuration of one daemon, folded from patches and snapshots. */
export class ConfigFold {
  private _version = 0;
  private _next = 0;
  /** Configuration without defaults, which patches apply to. */
  private _written: unknown = {};
  private _config: Config = configSchema.parse({});
  private _recentVerdicts = new Map<string, PatchVerdict>();
  private _history: HistoryEntry[] = [];
  private _lastAuthor = '';

  /** Current version; 0 before the first accepted patch. */
  get version(): number {
    return this._version;
  }

  /** Offset of the next record to fold. */
  get next(): number {
    return this._next;
  }

  /** Current configuration with all defaults. */
  get config(): Config {
    return this._config;
  }

  /** Current configuration as operators wrote it, without defaults. */
  get written(): unknown {
    return this._written;
  }

  /** Latest accepted versions, in ascending order. */
  get history(): readonly HistoryEntry[] {
    return this._history;
  }

  /** Verdict on a patch; undefined when it is not folded yet or no longer stored. */
  verdict(patchId: string): PatchVerdict | undefined {
    return this._recentVerdicts.get(patchId);
  }

  /**
   * Folds one record. Records before `next` are already folded and change nothing. Returns whether it produced a new version.
   */
  apply(offset: number, value: unknown): boolean {
    if (offset < this._next) {
      return false;
    }
    this._next = offset + 1;
    const parsed = patchRecordSchema.safeParse(value);
    if (!parsed.success || this._recentVerdicts.has(parsed.data.patchId)) {
      return false;
    }
    const { patchId, base, patch, author } = parsed.data;
    const verdict = this._applyPatch(base, patch);
    this._storeVerdict(patchId, verdict);
    if (verdict.kind !== 'accepted') {
      return false;
    }
    this._lastAuthor = author;
    this._history.push({ version: this._version, author, patchId, config: this._written });
    this._history = this._history.slice(-kMaxHistoryEntries);
    return true;
  }

  /** Checks a patch against the current version without folding it. */
  check(base: number, patch: unknown): PatchVerdict {
    if (base !== this._version) {
      return { kind: 'conflict', current: this._version, wonBy: this._lastAuthor };
    }
    const result = configSchema.safeParse(mergePatch(this._written, patch));
    if (!result.success) {
      return { kind: 'invalid', issues: result.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message })) };
    }
    return { kind: 'accepted', version: this._version + 1 };
  }

  /** Returns the state as a snapshot record; `hash` computes the digest of its JSON text. */
  snapshot(hash: (text: string) => string): SnapshotRecord {
    const recentPatches = [...this._recentVerdicts].map(([patchId, verdict]) => ({ patchId, verdict }));
    const body = { offset: this._next, version: this._version, config: this._written, recentPatches };
    return { ...body, digest: hash(JSON.stringify(body)) };
  }

  /**
   * Adopts a snapshot that is ahead of the current state; ignores outdated and damaged ones. Returns whether the version increased.
   */
  adopt(value: unknown, hash: (text: string) => string): boolean {
    const parsed = snapshotRecordSchema.safeParse(value);
    if (!parsed.success) {
      return false;
    }
    const { digest, ...body } = parsed.data;
    if (body.version < this._version || body.offset <= this._next || digest !== hash(JSON.stringify(body))) {
      return false;
    }
    const config = configSchema.safeParse(body.config);
    if (!config.success) {
      return false;
    }
    const versionChanged = body.version > this._version;
    this._next = body.offset;
    this._version = body.version;
    this._written = body.config;
    this._config = config.data;
    this._recentVerdicts = new Map(body.recentPatches.map(({ patchId, verdict }) => [patchId, verdict as PatchVerdict]));
    return versionChanged;
  }

  private _applyPatch(base: number, patch: unknown): PatchVerdict {
    const verdict = this.check(base, patch);
    if (verdict.kind === 'accepted') {
      this._written = mergePatch(this._written, patch);
      this._config = configSchema.parse(this._written);
      this._version = verdict.version;
    }
    return verdict;
  }

  private _storeVerdict(patchId: string, verdict: PatchVerdict): void {
    this._recentVerdicts.set(patchId, verdict);
    const oldest = this._recentVerdicts.keys().next();
    if (this._recentVerdicts.size > kMaxRecentPatches && !oldest.done) {
      this._recentVerdicts.delete(oldest.value);
    }
  }
}
