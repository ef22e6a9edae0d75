/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against a caller getting a response that its target did not send completely. */

import { bodyParts, MemoryAccount } from '@gentiandrum/core';
import { exchange, HttpExchange, Pools } from '@gentiandrum/daemon';
import { TargetClient } from '@gentiandrum/mesh';
import { platformDialect } from '@gentiandrum/platform';
import { kCall } from '../mesh/targetPlay.js';
import { type CutClient, playCuts } from '../platform/cutResponses.js';
import { RawTarget } from '../platform/rawTarget.js';
import { describe, itSerial } from '../support/describe.js';

const kParallel = 32;
const kRemainingMs = 60_000;
const kMaxBytes = 1_000;

/** Client of the routing daemon. */
function openTargetClient(address: string): CutClient {
  const ignore = (): undefined => undefined;
  const events = { onReachability: ignore, onCondition: ignore, onLoad: ignore, onNoRateLimit: ignore, onResponseRefused: ignore };
  const client = new TargetClient(
    address,
    'i-1',
    () => 1,
    platformDialect.headers,
    { ...events, onUnsolicited: ignore, onCrash: ignore },
    new MemoryAccount(2 ** 20),
  );
  return {
    run: (requestId, method, silent) =>
      new Promise((resolve) => {
        const run = client.run({ ...kCall, remainingMs: kRemainingMs, idempotent: true, requestId, method }, kRemainingMs, ({ result }) => {
          resolve(result.kind === 'answered' ? `${result.answer.status} ${bodyParts(result.answer.body).join('')}` : 'failed');
        });
        void silent.then(() => {
          run.abort();
        });
      }),
    close: () => {
      client.close();
    },
  };
}

/** Client of the daemon for callers with headers. */
function openExchange(address: string): CutClient {
  const pools = new Pools(1);
  return {
    run: (id, method, silent) =>
      new Promise((resolve) => {
        const req = { method, path: '/a/x', headers: { [platformDialect.headers.requestId]: id }, body: Buffer.alloc(0) };
        const exchange = new HttpExchange(pools.get(`http://${address}`), req, kMaxBytes, (result) => {
          resolve(result.kind === 'answered' ? `${result.status} ${String(result.body)}` : 'failed');
        });
        void silent.then(() => {
          exchange.abort();
        });
      }),
    close: () => void pools.destroy(),
  };
}

describe('a response that stops at any byte', () => {
  for (const [name, open] of [
    ['the routing daemon', openTargetClient],
    ['the daemon for callers with headers', openExchange],
  ] as const) {
    for (const kept of [false, true]) {
      // The end of a connection was taken for the end of a response that states none.
      itSerial(`should be a failure at ${name}, on a ${kept ? 'kept' : 'new'} connection`, async (t) => {
        const { cuts, wrong } = await playCuts(open, { kept, parallel: kParallel });
        t.log(`${cuts} cuts`);
        t.deepEqual(wrong, {});
      });
    }
  }
});

describe('a response that ends with its connection', () => {
  // Logs that answer so would be out of use, though a part of a JSON text is none.
  itSerial('should be whole if its body shows its own end', async (t) => {
    const log = new RawTarget(({ connection }) => connection.end('HTTP/1.0 200 OK\r\n\r\n{"offset":1}'));
    await log.start();
    const pools = new Pools(1);
    const req = { method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0), endsItself: true };
    const result = await exchange(pools.get(`http://${log.address}`), req, kMaxBytes, kRemainingMs);
    t.is(result.kind === 'answered' ? String(result.body) : result.kind, '{"offset":1}');
    await pools.destroy();
    log.close();
  });
});
