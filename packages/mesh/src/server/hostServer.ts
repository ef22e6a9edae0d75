/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP server for the platform and the target on this host: readiness, announcements and metrics. */

import { createServer, type IncomingMessage, type Server } from 'node:http';
import { listenOn } from '../app/addresses.js';
import type { EventLog } from '../app/eventLog.js';

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

  constructor(
    private readonly _serve: (req: HostRequest) => HostResponse | Promise<HostResponse>,
    private readonly _events: Pick<EventLog, 'warn'>,
  ) {
    this._server = createServer({ keepAliveTimeout: kKeepAliveMs }, (req, res) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      // The rest of a body that is too long is discarded, because closing the connection could lose the response, and requests behind it.
      req.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes <= kMaxBodyBytes) {
          chunks.push(chunk);
        }
      });
      req.on('end', () => {
        void this._respond(req, bytes > kMaxBodyBytes ? undefined : Buffer.concat(chunks)).then(
          ({ status, contentType = 'application/json', body = '' }) => {
            res.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) });
            res.end(body);
          },
        );
      });
    });
  }

  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  /** Serves a request; `body` is undefined if it was too long. */
  private async _respond({ method = 'GET', url: path = '/' }: IncomingMessage, body: Buffer | undefined): Promise<HostResponse> {
    if (!body) {
      this._events.warn('target', `Rejected a request: expected a body of at most ${kMaxBodyBytes} bytes.`, { method, path });
      return { status: 413 };
    }
    try {
      return await this._serve({ method, path, body });
    } catch (err) {
      this._events.warn('target', 'Serving a request failed.', { method, path, err: err instanceof Error ? err.stack : String(err) });
      return { status: 500 };
    }
  }

  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }
}
