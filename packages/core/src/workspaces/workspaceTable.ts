/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Finds the workspace that a key belongs to, in one configuration. */

import type { MeshConfig, Workspace } from '@gentiandrum/protocol';
import { hashText } from '../util/hashText.js';

/** Hexadecimal digits of a key's hash in log lines: enough to tell two keys apart, too few to find one. */
const kLoggedDigits = 4;

interface KeyEntry {
  key: string;
  workspace: Workspace;
}

/** The workspaces of one configuration. A look-up costs the same with ten keys and with ten thousand. */
export class WorkspaceTable {
  /** Whether requests need a key, but for those on exempt routes. */
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

  /** The workspace that holds a key. */
  find(key: string): Workspace | undefined {
    return this._byHash.get(hashText(key))?.find((entry) => equalInConstantTime(entry.key, key))?.workspace;
  }

  /** The workspace of a name. */
  get(name: string): Workspace | undefined {
    return this._byName.get(name);
  }

  /** Whether a workspace holds a key of this hash. */
  hasKey(workspace: string, keyHash: number): boolean {
    return this._byHash.get(keyHash)?.some((entry) => entry.workspace.name === workspace) ?? false;
  }

  /** A key in two workspaces is the first one's, as at every other daemon. */
  private _addKey(key: string, workspace: Workspace): void {
    const hash = hashText(key);
    const entries = this._byHash.get(hash) ?? [];
    if (!entries.some((entry) => entry.key === key)) {
      this._byHash.set(hash, [...entries, { key, workspace }]);
    }
  }
}

/** What daemons tell each other of a key, in place of the key. */
export function keyHash(key: string): number {
  return hashText(key);
}

/** What a log line says of a key. */
export function loggedKeyHash(key: string): string {
  return hashText(key).toString(16).padStart(8, '0').slice(0, kLoggedDigits);
}

/** Compares in a time that does not tell where two texts of one length differ. */
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
