/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Checks that every source file begins with the license header and imports only what the nearest DEPS.list, in its folder or above,
 * allows.
 *
 * A DEPS.list line is a package name, `node:*`, or a folder relative to the list. `#` starts a comment.
 */

import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { kLicenseHeader } from './licenseHeader.mjs';

const kRoot = fileURLToPath(new URL('..', import.meta.url));
const kFolders = [
  'packages/core/src',
  'packages/protocol/src',
  'packages/daemon/src',
  'packages/mesh/src',
  'packages/cli/src',
  'platform/src',
  'tests',
  'bench',
  'examples',
];
const kImport = /(?:from|import)\s+'([^']+)'/g;

function sourceFilesUnder(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return entry.name === 'gen' ? [] : sourceFilesUnder(path);
    }
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

function findDepsList(folder) {
  for (let at = folder; at.startsWith(kRoot); at = dirname(at)) {
    const file = join(at, 'DEPS.list');
    if (existsSync(file)) {
      const lines = readFileSync(file, 'utf8').split('\n');
      return { at, allowed: lines.map((line) => line.split('#')[0].trim()).filter(Boolean) };
    }
  }
  return undefined;
}

function isAllowed(list, file, name) {
  if (name.startsWith('.')) {
    const target = dirname(resolve(dirname(file), name));
    const inside = target === dirname(file);
    return inside || list.allowed.some((entry) => entry.startsWith('.') && resolve(list.at, entry) === target);
  }
  return list.allowed.some((entry) => entry === name || (entry === 'node:*' && name.startsWith('node:')));
}

const errors = [];
for (const file of kFolders
  .map((folder) => join(kRoot, folder))
  .filter(existsSync)
  .flatMap(sourceFilesUnder)) {
  const text = readFileSync(file, 'utf8');
  const name = relative(kRoot, file);
  if (!text.startsWith(kLicenseHeader)) {
    errors.push(`${name}: expected the license header at the start`);
  }
  const list = findDepsList(dirname(file));
  if (!list) {
    errors.push(`${name}: expected a DEPS.list in its folder or above`);
    continue;
  }
  for (const [, imported] of text.matchAll(kImport)) {
    if (!isAllowed(list, file, imported)) {
      errors.push(`${name}: got an import of ${imported}, expected one that ${relative(kRoot, list.at)}/DEPS.list allows`);
    }
  }
}
errors.forEach((error) => console.error(error));
process.exit(errors.length === 0 ? 0 : 1);
