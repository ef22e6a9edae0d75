/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Ports for processes under test, below the ephemeral range so that no outgoing connection takes one before its process listens on it.
 * Each test process reserves a block by listening on its first port, so that concurrent test processes never choose the same ports.
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

/** Returns free addresses on the loopback interface that no other test process chooses. */
export async function freeAddresses(count: number): Promise<string[]> {
  block ??= reserveBlock();
  const reserved = await block;
  const addresses: string[] = [];
  while (addresses.length < count) {
    // Wraps around, so that ports of stopped fleets are reused.
    const port = reserved.first + 1 + (reserved.used++ % (kPortsPerBlock - 1));
    const server = await listenOn(port);
    if (server) {
      await new Promise((resolve) => server.close(resolve));
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  return addresses;
}

/** Returns one free address, see `freeAddresses`. */
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
  throw new Error(`expected a free block of ports among ${kBlockCount}, got none`);
}

/** Listens on a port of the loopback interface; undefined if the port is in use. */
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
