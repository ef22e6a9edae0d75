/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Conversion of the addresses in the settings, such as `10.1.2.3:7400`, for sockets. */

import type { Server } from 'node:net';

/** Splits an address that the settings schema has validated into host and port. */
export function splitAddress(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}

/** Listens on an address; rejects if that fails. */
export async function listenOn(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject).listen(port, host, resolve);
  });
}
