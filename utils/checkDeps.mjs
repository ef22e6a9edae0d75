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
import { kHeader } from './licenseHeader.mjs';

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

function filesBelow(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return entry.name === 'gen' ? [] : filesBelow(path);
    }
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

function listFor(folder) {
  for (let at = folder; at.startsWith(kRoot); at = dirname(at)) {
    const file = join(at, 'DEPS.list');
    if (existsSync(file)) {
      const lines = readFileSync(file, 'utf8').split('\n');
      return { at, allowed: lines.map((line) => line.split('#')[0].trim()).filter(Boolean) };
    }
  }
  return undefined;
}

function allows(list, file, name) {
  if (name.startsWith('.')) {
    const target = dirname(resolve(dirname(file), name));
    const inside = target === dirname(file);
    return inside || list.allowed.some((entry) => entry.startsWith('.') && resolve(list.at, entry) === target);
  }
  return list.allowed.some((entry) => entry === name || (entry === 'node:*' && name.startsWith('node:')));
}

const faults = [];
for (const file of kFolders
  .map((folder) => join(kRoot, folder))
  .filter(existsSync)
  .flatMap(filesBelow)) {
  const text = readFileSync(file, 'utf8');
  const name = relative(kRoot, file);
  if (!text.startsWith(kHeader)) {
    faults.push(`${name}: expected the license header at the start`);
  }
  const list = listFor(dirname(file));
  if (!list) {
    faults.push(`${name}: expected a DEPS.list in its folder or above`);
    continue;
  }
  for (const [, imported] of text.matchAll(kImport)) {
    if (!allows(list, file, imported)) {
      faults.push(`${name}: expected only imports that ${relative(kRoot, list.at)}/DEPS.list allows, got ${imported}`);
    }
  }
}
faults.forEach((fault) => console.error(fault));
process.exit(faults.length === 0 ? 0 : 1);
