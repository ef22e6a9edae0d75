/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Starts the bundled daemon from its V8 code cache, or compiles it when the cache is missing or rejected. */

const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const kSource = join(__dirname, 'daemon.cjs');
const kCache = join(__dirname, 'daemon.cache');
const writesCache = process.argv[2] === '--write-code-cache';

function readCache() {
  try {
    return writesCache ? undefined : readFileSync(kCache);
  } catch {
    return undefined;
  }
}

const source = `(function (exports, require, module) {${readFileSync(kSource, 'utf8')}\n})`;
const script = new Script(source, { filename: kSource, cachedData: readCache() });
if (script.cachedDataRejected) {
  process.stderr.write('gentiandrumd: ignored the code cache, which was written by another Node.js version or with other flags\n');
}
const main = { exports: {} };
script.runInThisContext().call(main.exports, main.exports, require, main);
if (writesCache) {
  // Without settings the daemon exits at once; the functions that its start needs are compiled by now.
  writeFileSync(kCache, script.createCachedData());
  process.exitCode = 0;
}
