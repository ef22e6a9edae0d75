/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP server for the platform and the target on this host: readiness, announcements and metrics. */

import { createServer, type Server } from 'node:http';
import { listenOn } from '../app/addresses.js';

/** Longest accepted body, in bytes. */
const kMaxBodyBytes = 65_536;
/** Keep-alive timeout, in milliseconds; longer than the period of readiness checks and announcements. */
const kKeepAliveMs = 30_000;

/** A complete request. */
export interface HostRequest {
  method: string;
  path: string;
  body: Buffer;
}

export interface HostResponse {
  status: number;
  contentType?: string;
  body?: string;
}

export class HostServer {
  private readonly _server: Server;

  constructor(serve: (req: HostRequest) => HostResponse | Promise<HostResponse>) {
    this._server = createServer({ keepAliveTimeout: kKeepAliveMs }, (req, res) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      req.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > kMaxBodyBytes) {
          req.destroy();
          return;
        }
        chunks.push(chunk);
      });
      req.on('end', () => {
        const request = { method: req.method ?? 'GET', path: req.url ?? '/', body: Buffer.concat(chunks) };
        void Promise.resolve(serve(request)).then(({ status, contentType = 'application/json', body = '' }) => {
          res.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) });
          res.end(body);
        });
      });
    });
  }

  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }
}
