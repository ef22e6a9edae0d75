/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Server process that responds with 1 KB over connect (HTTP/1.1 and HTTP/2) and over fastify, for comparing transports of one hop. */

import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import { PeerService } from '@gentiandrum/protocol/peers';
import { fastify } from 'fastify';

const kResponseBody = Buffer.alloc(1_024, 'a');

function routes(router: ConnectRouter): void {
  router.service(PeerService, { fetchAnswer: () => ({ body: kResponseBody }) });
}

const app = fastify();
await app.register(fastifyConnectPlugin, { routes, acceptCompression: [] });
await app.register((scope, _options, done) => {
  scope.removeAllContentTypeParsers();
  scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, parsed) => {
    parsed(null, body);
  });
  scope.post('/plain', (_req, reply) => reply.send(kResponseBody));
  done();
});
await app.listen({ host: '127.0.0.1', port: 0 });
const http2 = createServer(connectNodeAdapter({ routes, acceptCompression: [] }));
http2.listen(0, '127.0.0.1', () => {
  const http1Port = (app.server.address() as AddressInfo).port;
  const http2Port = (http2.address() as AddressInfo).port;
  process.stdout.write(`${http1Port} ${http2Port}\n`);
});
