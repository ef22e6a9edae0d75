/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Small HTTP servers for the platform and the target on this host: readiness, announcements, metrics. */

import { createServer, type Server } from 'node:http';
import { listenOn } from '../app/addresses.js';

/** Longest body that is read, in bytes; announcements are a few hundred. */
const kMaxBodyBytes = 65_536;
/** Time for which idle connections are kept, in milliseconds; above any period of checks and announcements seen. */
const kKeepAliveMs = 30_000;

/** A request, read whole. */
export interface HostRequest {
  method: string;
  path: string;
  body: Buffer;
}

/** Answer to one. */
export interface HostResponse {
  status: number;
  contentType?: string;
  body?: string;
}

/** Serves one address. */
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
