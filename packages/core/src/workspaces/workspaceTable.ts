/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Maps API keys to workspaces for one configuration. */

import type { MeshConfig, Workspace } from '@gentiandrum/protocol';
import { hashText } from '../util/hashText.js';

/** Number of hexadecimal digits of a key's hash in log lines: enough to tell keys apart, too few to recover one. */
const kLoggedDigits = 4;

interface KeyEntry {
  key: string;
  workspace: Workspace;
}

/** The workspaces of one configuration. The cost of a look-up does not depend on the number of keys. */
export class WorkspaceTable {
  /** Whether requests need a key, except on exempt routes. */
  readonly required: boolean;
  private readonly _byName = new Map<string, Workspace>();
  private readonly _byHash = new Map<number, KeyEntry[]>();

  constructor(cfg: Pick<MeshConfig, 'workspaces'>) {
    this.required = cfg.workspaces !== undefined;
    for (const workspace of cfg.workspaces ?? []) {
      this._byName.set(workspace.name, workspace);
      for (const key of workspace.keys) {
        this._addKey(key, workspace);
      }
    }
  }

  /** The workspace of a key; undefined when the key is unknown. */
  find(key: string): Workspace | undefined {
    return this._byHash.get(hashText(key))?.find((entry) => equalInConstantTime(entry.key, key))?.workspace;
  }

  get(name: string): Workspace | undefined {
    return this._byName.get(name);
  }

  /** Whether a workspace has a key with this hash. */
  hasKey(workspace: string, keyHash: number): boolean {
    return this._byHash.get(keyHash)?.some((entry) => entry.workspace.name === workspace) ?? false;
  }

  /** A key that occurs in two workspaces belongs to the first one, on every daemon. */
  private _addKey(key: string, workspace: Workspace): void {
    const hash = hashText(key);
    const entries = this._byHash.get(hash) ?? [];
    if (!entries.some((entry) => entry.key === key)) {
      this._byHash.set(hash, [...entries, { key, workspace }]);
    }
  }
}

/** Hash that daemons exchange in place of a key. */
export function keyHash(key: string): number {
  return hashText(key);
}

/** Abbreviated hash of a key for log lines. */
export function loggedKeyHash(key: string): string {
  return hashText(key).toString(16).padStart(8, '0').slice(0, kLoggedDigits);
}

/** Compares in a time that does not depend on where two strings of equal length differ. */
function equalInConstantTime(a: string, b: string): boolean {
  if (a.length !== b.length) {
    return false;
  }
  let difference = 0;
  for (let i = 0; i < a.length; i++) {
    difference |= a.charCodeAt(i) ^ b.charCodeAt(i);
  }
  return difference === 0;
}
