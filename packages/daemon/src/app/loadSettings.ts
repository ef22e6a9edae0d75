/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Loads and validates the daemon's settings. */

import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '@gentiandrum/core';
import { type Settings, settingsSchema } from '@gentiandrum/protocol';
import { parse } from 'yaml';

/** One error in a settings file. */
export interface SettingsError {
  /** Dotted path of the setting; empty for the file as a whole. */
  path: string;
  expected: string;
  /** The actual value as JSON, `nothing` if it is missing, or the message of a read error. */
  got: string;
}

/** Loads a settings file; returns all errors at once if it is invalid. */
export function loadSettings(file: string): Result<Settings, SettingsError[]> {
  let value: unknown;
  try {
    value = parse(readFileSync(file, 'utf8'));
  } catch (err) {
    return Err([{ path: '', expected: 'a readable YAML file', got: err instanceof Error ? err.message : String(err) }]);
  }
  const checked = settingsSchema.safeParse(value);
  if (checked.success) {
    return Ok(checked.data);
  }
  return Err(
    checked.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      expected: issue.message,
      got: textOf(valueAt(value, issue.path)),
    })),
  );
}

/** Human-readable text of an error. */
export function formatSettingsError(error: SettingsError): string {
  const location = error.path === '' ? 'file' : error.path;
  return `${location}: ${error.expected}; got ${error.got}`;
}

function textOf(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, key) => (typeof inner === 'object' && inner !== null ? (inner as Record<PropertyKey, unknown>)[key] : undefined),
    value,
  );
}
