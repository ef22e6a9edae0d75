/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against records of other writers in the log that keep a daemon from starting, or from following the log after them. */

import { Daemon } from '@gentiandrum/daemon';
import { kConfigStream, kMembersStream, kSnapshotStream, settingsSchema } from '@gentiandrum/protocol';
import { LogStandin } from '../standins/logStandin.js';
import { describe, itSerial } from '../support/describe.js';
import { freeAddress } from '../support/freePorts.js';

const kPollMs = 20;
const kTimeoutMs = 10_000;
const kDeep = `${'{"a":'.repeat(20_000)}1${'}'.repeat(20_000)}`;
const kNumbers = ['1e999', '1e308', '9007199254740993', '-0', '0.5'];
const kPatch = { patchId: 'patch-odd', base: 0, author: 'other', patch: {} };
const kSnapshot = { offset: 3, version: 2, config: {}, recentPatches: [], digest: '' };
const kMember = { id: 'd9', incarnation: 1, address: '127.0.0.1:9', zone: 'z1', region: 'r1' };
const kClaim = { key: 'k', nonce: 'n', claimant: 'c', address: '127.0.0.1:9', body: 'b' };

/** Returns JSON texts of a record with each field in turn replaced by an odd value, or with one more field. */
function oddTexts(record: object): string[] {
  const odd = [kDeep, ...kNumbers, 'null', '[]', '{"__proto__":{"constructor":1}}'];
  return [...Object.keys(record), 'extra'].flatMap((field) =>
    odd.map((text) => JSON.stringify({ ...record, [field]: '?odd' }).replace('"?odd"', () => text)),
  );
}

async function withDaemon(odd: (log: LogStandin) => void, body: (daemon: Daemon, log: LogStandin) => Promise<void>): Promise<void> {
  const log = new LogStandin();
  const listen = await freeAddress();
  const chainSecret = 'a secret of the tests';
  const settings = { id: 'd1', listen, zone: 'z1', region: 'r1', log: await log.listen(), chainSecret, logLevel: 'error' };
  odd(log);
  const daemon = new Daemon(settingsSchema.parse(settings));
  try {
    await daemon.start();
    await body(daemon, log);
  } finally {
    await daemon.close();
    log.close();
  }
}

async function untilVersion(daemon: Daemon, version: number): Promise<void> {
  const deadline = performance.now() + kTimeoutMs;
  while (daemon.config.fold.version < version) {
    if (performance.now() > deadline) {
      throw new Error(`expected version ${version}, got ${daemon.config.fold.version}`);
    }
    await new Promise((resolve) => setTimeout(resolve, kPollMs));
  }
}

function putPatch(log: LogStandin, base: number): void {
  log.putText(kConfigStream, JSON.stringify({ patchId: `patch-from-${base}`, base, author: 'operator', patch: { retryRatio: 0.2 } }));
}

describe('records of other writers in the log', () => {
  // A deeply nested snapshot made the start fail, so that the daemon never followed the log.
  itSerial('should not keep a daemon from starting', (t) =>
    withDaemon(
      (log) => {
        oddTexts(kSnapshot).forEach((text) => {
          log.putText(kSnapshotStream, text);
        });
        oddTexts(kMember).forEach((text) => {
          log.putText(kMembersStream, text);
        });
        oddTexts(kPatch).forEach((text) => {
          log.putText(kConfigStream, text);
        });
      },
      async (daemon, log) => {
        putPatch(log, daemon.config.fold.version);
        await untilVersion(daemon, daemon.config.fold.version + 1);
        t.pass();
      },
    ),
  );

  // A deeply nested patch ended the reading of the log for good.
  itSerial('should not keep a daemon from following the log, or from passing records on', (t) =>
    withDaemon(
      (log) => {
        putPatch(log, 0);
      },
      async (daemon, log) => {
        await untilVersion(daemon, 1);
        oddTexts({ ...kPatch, base: 1 }).forEach((text, i) => {
          log.putText(kConfigStream, text.replace('patch-odd', `patch-odd-${i}`));
        });
        const from = daemon.config.fold.version;
        putPatch(log, from);
        await untilVersion(daemon, from + 1);
        t.notThrows(() => JSON.stringify(daemon.config.changesSince(0)));
      },
    ),
  );

  itSerial('should not keep a daemon from reading claims after them', (t) =>
    withDaemon(
      (log) => {
        for (let shard = 0; shard < 16; shard++) {
          oddTexts(kClaim).forEach((text) => {
            log.putText(`gentiandrum.claims.${shard}`, `[${text}]`);
          });
        }
      },
      async (daemon) => {
        const record = { key: 'call-1', nonce: 'n1', claimant: 'd1/1', address: '127.0.0.1:9', body: '' };
        const claimed = await daemon.claims.claimForPeer(record);
        t.is(claimed.kind === 'holder' && claimed.holder.nonce, 'n1');
      },
    ),
  );
});
