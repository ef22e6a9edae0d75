/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Addresses of the settings, such as `10.1.2.3:7400`, as sockets want them. */

import type { Server } from 'node:net';

/** Host and port of an address that the settings' schema has checked. */
export function splitAddress(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}

/** Listens on an address; rejects when it can't be had. */
export async function listenOn(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(port, host, resolve);
  });
}
