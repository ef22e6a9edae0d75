/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Ports for processes under test: below the range from which the system takes ports of outgoing connections, which could otherwise be
 * given one between its choice and its use. Each test process has a block of its own, also beside other runs of the tests: it listens on
 * the first port of the block until it ends. A process under test may take seconds until it listens on its port, and two fleets that chose
 * the same one answered each other's calls.
 */

import { createServer, type Server } from 'node:net';

const kFirstPort = 12_000;
const kPortsPerBlock = 200;
const kBlockCount = 100;

interface PortBlock {
  first: number;
  used: number;
}

let block: Promise<PortBlock> | undefined;

/** Addresses on the loopback that are free, and that no other test process chooses. */
export async function freeAddresses(count: number): Promise<string[]> {
  block ??= reserveBlock();
  const reserved = await block;
  const addresses: string[] = [];
  while (addresses.length < count) {
    // Ports of fleets that have ended are used again.
    const port = reserved.first + 1 + (reserved.used++ % (kPortsPerBlock - 1));
    const server = await listenOn(port);
    if (server) {
      await new Promise((resolve) => server.close(resolve));
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  return addresses;
}

/** One such address. */
export async function freeAddress(): Promise<string> {
  const [address = ''] = await freeAddresses(1);
  return address;
}

async function reserveBlock(): Promise<PortBlock> {
  for (let i = 0; i < kBlockCount; i++) {
    const first = kFirstPort + ((process.pid + i) % kBlockCount) * kPortsPerBlock;
    const server = await listenOn(first);
    if (server) {
      server.unref();
      return { first, used: 0 };
    }
  }
  throw new Error(`expected a free block among ${kBlockCount}, got none`);
}

/** Listens on a port of the loopback; undefined when it is in use. */
function listenOn(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}
