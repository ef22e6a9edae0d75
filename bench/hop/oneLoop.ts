/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Measures the added latency with the caller, two daemons and the target in one event loop, which excludes wake-ups between
 * processes. Daemon logs go to standard output and results to standard error; redirect standard output to a file.
 * Arguments: seconds per round, log level.
 */

import { configSchema, settingsSchema } from '@gentiandrum/protocol';
import { Daemon, startServer } from '@gentiandrum/daemon';
import { Pool } from 'undici';
import { LogStandin } from '../../tests/standins/logStandin.js';
import { TargetStandin } from '../../tests/standins/targetStandin.js';
import { kSampleConfig } from '../../tests/support/sampleConfig.js';
import { runInterleaved } from '../support/openLoop.js';

const kCallsPerSecond = 300;
const kWarmupSeconds = 4;
const kRoundSeconds = Number(process.argv[2] ?? 8);
const kRounds = 3;
const kPortA = 17_411;
const kPortB = 17_412;
const kBody = Buffer.alloc(256, 'b');

async function startDaemon(id: string, port: number, log: string, logLevel: string): Promise<Daemon> {
  const settings = { id, listen: `127.0.0.1:${port}`, zone: 'east', region: 'one', log, chainSecret: 'a secret of the bench', logLevel };
  const daemon = new Daemon(settingsSchema.parse(settings));
  await startServer(daemon);
  await daemon.start();
  return daemon;
}

function makePutCall(pool: Pool, path: string): () => Promise<boolean> {
  return async () => {
    const res = await pool.request({ method: 'PUT', path, body: kBody, headers: { 'content-type': 'application/octet-stream' } });
    await res.body.arrayBuffer();
    return res.statusCode === 200;
  };
}

const log = await new LogStandin().listen();
const logLevel = process.argv[3] ?? 'info';
const entryDaemon = await startDaemon('a1', kPortA, log, logLevel);
await startDaemon('b1', kPortB, log, logLevel);
await entryDaemon.config.submit({ patchId: 'bench-patch', base: 0, author: 'bench', patch: configSchema.parse(kSampleConfig) });
const target = new TargetStandin(
  { target: 't1', service: 'alpha', daemon: `127.0.0.1:${kPortB}` },
  { workMs: 0, slots: 1_000, echo: true },
);
await target.start();
await new Promise((resolve) => setTimeout(resolve, 2_000));
const loads = {
  direct: makePutCall(new Pool(target.url, { connections: 32 }), '/x'),
  layer: makePutCall(new Pool(`http://127.0.0.1:${kPortA}`, { connections: 32 }), '/alpha/x'),
};
await runInterleaved(loads, kCallsPerSecond, kWarmupSeconds);
const added: { p50: number; p99: number }[] = [];
for (let i = 0; i < kRounds; i++) {
  const { direct, layer } = await runInterleaved(loads, kCallsPerSecond, kRoundSeconds);
  if (direct && layer) {
    process.stderr.write(`${JSON.stringify({ direct, layer })}\n`);
    added.push({ p50: layer.p50 - direct.p50, p99: layer.p99 - direct.p99 });
  }
}
const median = (values: number[]): number => [...values].sort((x, y) => x - y)[Math.floor(values.length / 2)] ?? 0;
process.stderr.write(
  `${JSON.stringify({ one_loop_added_p50_ms: median(added.map((x) => x.p50)), one_loop_added_p99_ms: median(added.map((x) => x.p99)) })}\n`,
);
process.exit(0);
