/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Loads and validates the settings of a routing daemon. */

import { readFileSync } from 'node:fs';
import { type MeshSettings, meshSettingsSchema } from '@gentiandrum/protocol';
import { parse } from 'yaml';

/** Loads a settings file; throws an error that lists all faults with their paths. */
export function loadMeshSettings(file: string): MeshSettings {
  const checked = meshSettingsSchema.safeParse(parse(readFileSync(file, 'utf8')));
  if (checked.success) {
    return checked.data;
  }
  const faults = checked.error.issues.map((issue) => `${issue.path.join('.') || 'file'}: ${issue.message}`);
  throw new Error(`${file}: ${faults.join('; ')}`);
}
