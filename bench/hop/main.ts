/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Measures the latency that the layer adds to a call, against direct calls in the same run. */

import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { PeerService } from '@gentiandrum/protocol/peers';
import { Pool } from 'undici';
import { Fleet } from '../../tests/support/fleet.js';
import { kSampleConfig } from '../../tests/support/sampleConfig.js';
import { type Latencies, runInterleaved } from '../support/openLoop.js';

const kCallsPerSecond = 300;
const kWarmupSeconds = 4;
const kRoundSeconds = 10;
const kRounds = 3;
const kBody = Buffer.alloc(256, 'b');
const kGoalMs = { p50: 0.4, p99: 0.78 };

function makePutCall(pool: Pool, path: string): () => Promise<boolean> {
  return async () => {
    const res = await pool.request({ method: 'PUT', path, body: kBody, headers: { 'content-type': 'application/octet-stream' } });
    await res.body.arrayBuffer();
    return res.statusCode === 200;
  };
}

async function compareTransports(): Promise<Record<string, Latencies>> {
  const server = spawn(process.execPath, [fileURLToPath(new URL('./hopServer.js', import.meta.url))], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const portsLine = await new Promise<string>((resolve) => {
    server.stdout.once('data', (data: Buffer) => {
      resolve(data.toString());
    });
  });
  const [http1Port, http2Port] = portsLine.trim().split(' ');
  const makeConnectCall = (port: string | undefined, httpVersion: '1.1' | '2'): (() => Promise<boolean>) => {
    const peers = createClient(
      PeerService,
      createConnectTransport({ baseUrl: `http://127.0.0.1:${port ?? ''}`, httpVersion, useBinaryFormat: true }),
    );
    return async () => (await peers.fetchAnswer({ key: 'k'.repeat(256) })).body.length === 1_024;
  };
  const pool = new Pool(`http://127.0.0.1:${http1Port ?? ''}`, { connections: 32 });
  const plainCall = async (): Promise<boolean> => {
    const res = await pool.request({ method: 'POST', path: '/plain', body: kBody });
    return (await res.body.arrayBuffer()).byteLength === 1_024;
  };
  const loads = {
    'undici HTTP/1.1': plainCall,
    'connect HTTP/1.1': makeConnectCall(http1Port, '1.1'),
    'connect HTTP/2': makeConnectCall(http2Port, '2'),
  };
  await runInterleaved(loads, kCallsPerSecond, kWarmupSeconds);
  const results = await runInterleaved(loads, kCallsPerSecond, kRoundSeconds);
  server.kill();
  await pool.destroy();
  return results;
}

async function measureLayer(): Promise<{ direct: Latencies; layer: Latencies }[]> {
  const fleet = await Fleet.start([
    { id: 'a1', zone: 'east' },
    { id: 'b1', zone: 'east', service: 'alpha', behaviour: { workMs: 0, slots: 1_000, echo: true } },
  ]);
  try {
    await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
    await fleet.untilTargets('alpha', 1);
    const direct = new Pool(fleet.host('b1').targetUrl, { connections: 32 });
    const layer = new Pool(`http://${fleet.host('a1').address}`, { connections: 32 });
    const loads = { direct: makePutCall(direct, '/x'), layer: makePutCall(layer, '/alpha/x') };
    await runInterleaved(loads, kCallsPerSecond, kWarmupSeconds);
    const rounds = [];
    for (let i = 0; i < kRounds; i++) {
      const { direct: d, layer: l } = await runInterleaved(loads, kCallsPerSecond, kRoundSeconds);
      if (d && l) {
        rounds.push({ direct: d, layer: l });
      }
    }
    await Promise.all([direct.destroy(), layer.destroy()]);
    return rounds;
  } finally {
    fleet.stop();
  }
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function roundToMicros(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

const transports = await compareTransports();
console.log(`one hop, ${kCallsPerSecond} calls/s each, 256 B requests, 1 KB responses, separate processes`);
console.table(transports);
const rounds = await measureLayer();
console.log(`calls through two daemons against direct calls, ${kCallsPerSecond} calls/s, ${kRounds} rounds of ${kRoundSeconds} s`);
console.table(
  rounds.map(({ direct, layer }) => ({
    direct_p50: direct.p50,
    direct_p99: direct.p99,
    layer_p50: layer.p50,
    layer_p99: layer.p99,
    failed: layer.failed,
  })),
);
const added = {
  added_p50_ms: roundToMicros(median(rounds.map(({ direct, layer }) => layer.p50 - direct.p50))),
  added_p99_ms: roundToMicros(median(rounds.map(({ direct, layer }) => layer.p99 - direct.p99))),
};
console.log(JSON.stringify({ ...added, goal_p50_ms: kGoalMs.p50, goal_p99_ms: kGoalMs.p99 }));
process.exit(0);
