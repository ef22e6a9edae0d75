/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Reads request bodies as buffers, so that they are forwarded unchanged, within the memory of the daemon for bodies. */

import type { IncomingMessage } from 'node:http';
import { kOfferHeader } from '@gentiandrum/protocol';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import type { Daemon } from '../app/daemon.js';
import { RequestMemory } from '../app/requestMemory.js';
import { collectBody } from './requestReader.js';

const kPayloadTooLarge = 413;
const kServiceUnavailable = 503;
/** Code of the error for a body that was refused for lack of memory. */
export const kNoMemoryCode = 'NO_MEMORY';

const memories = new WeakMap<IncomingMessage, RequestMemory>();

/** Memory of a request; released when the connection has taken its response, or closes. */
export function memoryOf(daemon: Daemon, { raw, headers }: FastifyRequest): RequestMemory {
  let memory = memories.get(raw);
  if (!memory) {
    const received = headers[kOfferHeader] !== undefined;
    memory = new RequestMemory(daemon.bodies, {
      request: received ? 'received_requests' : 'requests',
      response: received ? 'target_responses' : 'received_responses',
    });
    memories.set(raw, memory);
  }
  return memory;
}

/** Installs the parser for bodies of every content type. */
export function parseBodiesAsBuffers(fastify: FastifyInstance, daemon: Daemon): void {
  fastify.removeAllContentTypeParsers();
  fastify.addHook('onRequest', (req, reply, done) => {
    reply.raw.once('close', () => {
      memories.get(req.raw)?.release();
    });
    done();
  });
  fastify.addContentTypeParser('*', async (req: FastifyRequest, payload: IncomingMessage) => {
    const read = await collectBody(payload, req.headers, daemon.settings.limits.bodyBytes, memoryOf(daemon, req));
    switch (read.kind) {
      case 'complete':
        return read.body;
      case 'too_large':
        throw Object.assign(new Error('request body is too large'), { statusCode: kPayloadTooLarge });
      case 'no_memory':
        throw Object.assign(new Error('no memory for the request body'), { statusCode: kServiceUnavailable, code: kNoMemoryCode });
    }
  });
}
