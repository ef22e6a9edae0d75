/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reads and checks the settings of a routing daemon. */

import { readFileSync } from 'node:fs';
import { type MeshSettings, meshSettingsSchema } from '@gentiandrum/protocol';
import { parse } from 'yaml';

/** Reads a settings file; throws with every fault at once, each with its path, if there are any. */
export function loadMeshSettings(file: string): MeshSettings {
  const checked = meshSettingsSchema.safeParse(parse(readFileSync(file, 'utf8')));
  if (checked.success) {
    return checked.data;
  }
  const faults = checked.error.issues.map((issue) => `${issue.path.join('.') || 'file'}: ${issue.message}`);
  throw new Error(`${file}: ${faults.join('; ')}`);
}
