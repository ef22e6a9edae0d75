/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Ports for processes under test: below the range from which the system takes ports of outgoing connections, which could otherwise be
 * given one between its choice and its use; each test process begins at another block.
 */

import { createServer } from 'node:net';

const kFirstPort = 12_000;
const kPorts = 20_000;
const kPortsOfProcess = 200;
let nextPort = (process.pid * kPortsOfProcess) % kPorts;

/** Addresses on the loopback that are free, and that no other test process chooses. */
export async function freeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = kFirstPort + nextPort;
    nextPort = (nextPort + 1) % kPorts;
    if (await isFree(port)) {
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

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const listening = await new Promise<boolean>((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  if (listening) {
    await new Promise((resolve) => server.close(resolve));
  }
  return listening;
}
