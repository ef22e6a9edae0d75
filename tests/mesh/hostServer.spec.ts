/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against requests to the ports for the platform and the target that are left without a response. */

import { HostServer } from '@gentiandrum/mesh';
import { RawCaller } from './rawCaller.js';
import { describe, it } from '../support/describe.js';
import { freeAddress } from '../support/freePorts.js';

const kDeep = `${'{"a":'.repeat(20_000)}1${'}'.repeat(20_000)}`;

function put(path: string, body: string): string {
  return `PUT ${path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Sends requests in one write; returns the statuses of the responses, and whether the connection is still open. */
async function statusesOf(requests: string[], serve: ConstructorParameters<typeof HostServer>[0]): Promise<string> {
  const server = new HostServer(serve, { warn: () => undefined });
  const address = await freeAddress();
  await server.listen(address);
  const caller = await RawCaller.open(address);
  try {
    caller.write(requests.join(''));
    const text = await caller.until(new RegExp(`(HTTP/1.1 [^]*){${requests.length}}\r\n\r\n`));
    return `${[...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status).join(' ')}${caller.closed ? ' closed' : ''}`;
  } finally {
    caller.disconnect();
    server.close();
  }
}

describe('a request to the port for announcements', () => {
  // The connection ended without a response, and the requests behind it were lost.
  it('should get a response when its body is too long, as should the requests behind it', async (t) => {
    const requests = [put('/1', '{}'), put('/2', kDeep), put('/3', '{}')];
    t.is(await statusesOf(requests, () => ({ status: 200 })), '200 413 200');
  });

  // The target waited for its acknowledgement until its timeout.
  it('should get a response when an error occurs in its use', async (t) => {
    const fail = (): never => {
      throw new RangeError('expected');
    };
    const serve = ({ path }: { path: string }): Promise<{ status: number }> | { status: number } =>
      path === '/1' ? fail() : path === '/2' ? Promise.reject(new Error('expected')) : { status: 200 };
    t.is(await statusesOf([put('/1', '{}'), put('/2', '{}'), put('/3', '{}')], serve), '500 500 200');
  });
});
