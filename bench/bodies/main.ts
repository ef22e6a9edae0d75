/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Sends calls with bodies of up to 1 MB, with a content length or chunked, through real daemons to echo targets with different
 * delays. Counts lost and refused calls, and responses whose digest differs from that of the request body.
 */

import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';
import { seededRandom } from '@gentiandrum/core';
import { Pool } from 'undici';
import { Fleet } from '../../tests/support/fleet.js';
import { kSampleConfig } from '../../tests/support/sampleConfig.js';

const kCalls = Number(process.argv[2] ?? 100_000);
const kConcurrency = 48;
const kSeed = 5;
const kMaxBodyBytes = 1_048_576;
const kChunks = 4;
/** One call in this many has a body of up to `kMaxBodyBytes`; the others have small bodies. */
const kLargeBodyInterval = 100;

interface Counts {
  equal: number;
  crossed: number;
  refused: number;
  lost: number;
}

const random = seededRandom(kSeed);
const randomFill = Buffer.from(Array.from({ length: kMaxBodyBytes }, () => Math.floor(random() * 256)));

/** Body of a call: its number, then random bytes; some bodies are empty. */
function makeBody(i: number): Buffer {
  const size = i % 50 === 0 ? 0 : Math.floor(random() ** 3 * (i % kLargeBodyInterval === 1 ? kMaxBodyBytes : 4_096));
  return size === 0 ? Buffer.alloc(0) : Buffer.concat([Buffer.from(`${i}:`), randomFill.subarray(0, size)]);
}

function chunkedStream(body: Buffer): Readable {
  const step = Math.ceil(body.length / kChunks) || 1;
  return Readable.from(
    Array.from({ length: kChunks }, (_, i) => body.subarray(i * step, (i + 1) * step)).filter((chunk) => chunk.length > 0),
  );
}

async function call(pool: Pool, i: number, counts: Counts): Promise<void> {
  const body = makeBody(i);
  const requestBody = i % 3 === 0 && body.length > 0 ? chunkedStream(body) : body;
  try {
    const res = await pool.request({ method: 'PUT', path: `/alpha/${i}`, body: requestBody, headers: { 'x-call': 'bodies' } });
    const responseBody = Buffer.from(await res.body.arrayBuffer());
    const expectedDigest = createHash('sha256').update(body).digest('hex');
    const actualDigest = createHash('sha256').update(responseBody).digest('hex');
    if (res.statusCode !== 200) {
      counts.refused++;
    } else if (actualDigest === expectedDigest && res.headers['x-digest'] === expectedDigest) {
      counts.equal++;
    } else {
      counts.crossed++;
    }
  } catch {
    counts.lost++;
  }
}

const host = (id: string, zone: string, workMs: number): Parameters<typeof Fleet.start>[0][number] => ({
  id,
  zone,
  service: 'alpha',
  behaviour: { workMs, slots: 60, echo: true },
});
const fleet = await Fleet.start([host('a1', 'east', 0), host('a2', 'east', 7), host('a3', 'west', 20)], { logLevel: 'warn' });
try {
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
  await fleet.untilTargets('alpha', 3);
  const pools = [...fleet.hosts.values()].map(({ address }) => new Pool(`http://${address}`, { connections: kConcurrency }));
  const counts: Counts = { equal: 0, crossed: 0, refused: 0, lost: 0 };
  let next = 0;
  const startedAt = performance.now();
  const worker = async (): Promise<void> => {
    for (let i = next++; i < kCalls; i = next++) {
      const pool = pools[i % pools.length];
      if (pool) {
        await call(pool, i, counts);
      }
    }
  };
  await Promise.all(Array.from({ length: kConcurrency }, worker));
  const seconds = Math.round((performance.now() - startedAt) / 1_000);
  console.log(JSON.stringify({ calls: kCalls, ...counts, seconds, seed: kSeed }));
} finally {
  fleet.stop();
}
process.exit(0);
