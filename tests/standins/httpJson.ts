/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** JSON over node's HTTP server, for the stand-ins. */

import type { IncomingMessage, ServerResponse } from 'node:http';

/** Body of a request, whole. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Body of a request as JSON; undefined when there is none. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req);
  return body.length === 0 ? undefined : JSON.parse(body.toString('utf8'));
}

/** Answers with JSON. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
