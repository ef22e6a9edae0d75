/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Starts the HTTP server of a daemon. */

import 'reflect-metadata';
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance } from 'fastify';
import type { IncomingMessage } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { Daemon } from '../app/daemon.js';
import { AppModule } from './appModule.js';
import { parseBodiesAsBuffers } from './bodyParser.js';
import { callRoutes } from './callRoutes.js';
import { peerRoutes } from './peerRoutes.js';
import { ProblemFilter } from './problemFilter.js';
import { ResponseOrder } from './responseOrder.js';

const kMaxHeaderBytes = 65_536;
const kKeepAliveMs = 75_000;

/** A listening server. */
export interface Server {
  /** Stops accepting connections; open ones are still served, and close after their newest request. */
  refuseConnections(): void;
  /** Closes the remaining connections. */
  close(): Promise<void>;
}

/** Listens on the address from the daemon's settings. */
export async function startServer(daemon: Daemon): Promise<Server> {
  const adapter = new FastifyAdapter({
    bodyLimit: daemon.settings.limits.bodyBytes,
    http: { maxHeaderSize: kMaxHeaderBytes },
    keepAliveTimeout: kKeepAliveMs,
    exposeHeadRoutes: false,
    forceCloseConnections: 'idle',
  });
  // Nest declares its options as a class and documents them as a literal.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  const app: NestFastifyApplication = await NestFactory.create(AppModule.for(daemon), adapter, { bodyParser: false, logger: false });
  app.useGlobalFilters(new ProblemFilter());
  const fastify = adapter.getInstance<FastifyInstance>();
  meterPeerTraffic(fastify, daemon);
  const responses = new ResponseOrder(fastify, () => daemon.stopping);
  const unused = unusedConnections(fastify);
  await fastify.register(fastifyConnectPlugin, { routes: peerRoutes(daemon), acceptCompression: [] });
  parseBodiesAsBuffers(fastify, daemon);
  await fastify.register((scope, _options, done) => {
    callRoutes(scope, daemon);
    done();
  });
  const [host, port] = daemon.settings.listen.split(':');
  await app.listen(Number(port), host ?? '');
  return {
    refuseConnections: () => {
      responses.endConnections();
      // `http.Server.close` would also close idle connections, on which a request may be in transit.
      NetServer.prototype.close.call(fastify.server);
    },
    close: async () => {
      // The server would wait for connections that have not carried a request yet.
      unused.forEach((socket) => socket.destroy());
      await app.close();
    },
  };
}

/** Returns a live set of the connections that have not carried a request yet. */
function unusedConnections(fastify: FastifyInstance): ReadonlySet<Socket> {
  const unused = new Set<Socket>();
  fastify.server.on('connection', (socket: Socket) => {
    unused.add(socket);
    socket.once('close', () => unused.delete(socket));
  });
  fastify.server.on('request', ({ socket }: IncomingMessage) => {
    unused.delete(socket);
  });
  return unused;
}

/** Counts the bytes of peer messages in the control meter. */
function meterPeerTraffic(fastify: FastifyInstance, daemon: Daemon): void {
  fastify.addHook('onResponse', (req, reply, done) => {
    if (req.url.startsWith('/gentiandrum.v1.')) {
      const { bytesRead, bytesWritten } = req.raw.socket;
      daemon.meter.addConnectionBytes(req.raw.socket, bytesRead + bytesWritten);
    }
    done();
  });
}
