/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Starts the bundled daemon from its compiled code; without a fitting one it is compiled as usual. */

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
  // Compiling the whole bundle takes five times as long as a start from compiled code.
  process.stderr.write('gentiandrumd: the compiled code was written by another runtime or with other flags, and is not used\n');
}
const main = { exports: {} };
script.runInThisContext().call(main.exports, main.exports, require, main);
if (writesCache) {
  // The daemon was run without settings and ended at once: what its start compiles is compiled by now.
  writeFileSync(kCache, script.createCachedData());
  process.exitCode = 0;
}
