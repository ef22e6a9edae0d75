/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** JSON requests and responses over Node's HTTP server, for the stand-ins. */

import type { IncomingMessage, ServerResponse } from 'node:http';

/** Reads the complete body of a request. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Parses the body of a request as JSON; undefined if it is empty. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req);
  return body.length === 0 ? undefined : JSON.parse(body.toString('utf8'));
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
