/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Routes that carry calls: from callers and targets to any service, and offers between daemons. */

import { offerHeadSchema, kOfferHeader, kVerdictHeader, type OfferTerms } from '@gentiandrum/protocol';
import { errorResponse, errorResult, monotonicMs, type OfferResult } from '@gentiandrum/core';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { verdictHeader } from '../app/callSession.js';
import type { Daemon } from '../app/daemon.js';
import { sendServed } from './problem.js';
import { readBody, readOnce, readPayload, readTimeout } from './requestReader.js';

const kNoId = 'none';
const kTooLarge = 413;
const kServerError = 500;
/** Longest time for which the rest of a request that is too large is read off, in milliseconds. */
const kReadOffMs = 2_000;
const kNoBody = Buffer.alloc(0);
/** Methods beyond those that the server knows by itself. */
const kMoreMethods = ['PROPFIND', 'PROPPATCH', 'MKCOL', 'COPY', 'MOVE', 'LOCK', 'UNLOCK', 'SEARCH', 'REPORT'];

/** Registers the routes. */
export function callRoutes(app: FastifyInstance, daemon: Daemon): void {
  for (const method of kMoreMethods) {
    app.addHttpMethod(method, { hasBody: true });
  }
  app.post('/-/offer', (req, reply) => takeOffer(daemon, req, reply));
  app.post('/-/cancel/:attempt', (req, reply) => {
    const { attempt } = req.params as { attempt: string };
    void reply.send(daemon.offers.cancel(attempt));
  });
  app.all('/*', (req, reply) => takeCall(daemon, req, reply));
  app.setErrorHandler(async (err: { statusCode?: number; code?: string; message: string }, req, reply) => {
    const kind = kindOfStatus(err.statusCode);
    if (kind === 'body_too_large') {
      await readOff(req.raw);
    }
    if (kind === 'internal_error') {
      daemon.logger.error('http', 'A request failed by a fault of the daemon.', { err: err.message });
    }
    sendServed(reply, kNoId, errorResult(kind, errorResponse(kind).outcome, err.message));
    return reply;
  });
}

/** Kind of an error that the server raised itself. One without a status of the caller's is the daemon's own. */
function kindOfStatus(status: number | undefined): 'body_too_large' | 'bad_request' | 'internal_error' {
  if (status === kTooLarge) {
    return 'body_too_large';
  }
  return status !== undefined && status < kServerError ? 'bad_request' : 'internal_error';
}

/** Reads off the rest of a request for a while: a caller that is still sending would be cut before it saw the answer. */
function readOff(req: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, kReadOffMs);
    const done = (): void => {
      clearTimeout(timer);
      resolve();
    };
    req.once('end', done).once('close', done);
    req.resume();
  });
}

async function takeCall(daemon: Daemon, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const badRequest = (detail: string): FastifyReply => {
    sendServed(reply, kNoId, errorResult('bad_request', 'not_run', detail));
    return reply;
  };
  const body = await readBody(req, daemon.settings.limits.bodyBytes);
  if (!body) {
    sendServed(reply, kNoId, errorResult('body_too_large', 'not_run', `Expected at most ${daemon.settings.limits.bodyBytes} bytes.`));
    return reply;
  }
  const timeout = readTimeout(req);
  const key = readOnce(req, 'idempotency-key');
  if (timeout.err) {
    return badRequest(timeout.val);
  }
  if (key.err) {
    return badRequest(key.val);
  }
  const chain = daemon.tokens.read(req.headers);
  if (chain.kind === 'bad') {
    sendServed(reply, kNoId, errorResult('bad_chain_token', 'not_run', 'Expected the token as the daemon gave it, whole.'));
    return reply;
  }
  const { service, payload } = readPayload(req, body);
  const token = chain.kind === 'token' ? chain.token : undefined;
  const taken = daemon.calls.accept({ service, payload, key: key.val, timeoutMs: timeout.val, chain: token });
  const onClose = (): void => {
    if (!reply.raw.writableEnded) {
      taken.onCallerDisconnect();
    }
  };
  reply.raw.on('close', onClose);
  const served = await taken.result;
  reply.raw.off('close', onClose);
  sendServed(reply, taken.id, served);
  return reply;
}

async function takeOffer(daemon: Daemon, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const text = req.headers[kOfferHeader];
  const head = offerHeadSchema.safeParse(typeof text === 'string' ? parseJson(text) : undefined);
  if (!head.success) {
    return reply.code(400).send('expected an offer header');
  }
  const { terms, method, path, headers, from } = head.data;
  const body = Buffer.isBuffer(req.body) ? req.body : kNoBody;
  const onClose = (): void => {
    if (!reply.raw.writableEnded) {
      daemon.offers.cancel(terms.attempt);
    }
  };
  reply.raw.on('close', onClose);
  noteOffer(daemon, req.raw.socket, from, terms);
  const end: OfferResult = await daemon.offers.offer(terms, { method, path, headers, body });
  reply.raw.off('close', onClose);
  if (end.kind === 'refused') {
    daemon.acceptedOffers.refused(req.raw.socket, terms.attempt);
  }
  return reply.header(kVerdictHeader, verdictHeader(end)).send(end.kind === 'answered' ? end.answer.body : kNoBody);
}

function noteOffer({ acceptedOffers }: Daemon, socket: Socket, from: string, { attempt, remainingMs, idempotent }: OfferTerms): void {
  const offer = idempotent ? undefined : { attempt, deadline: monotonicMs() + remainingMs };
  if (acceptedOffers.accept(socket, from, offer)) {
    socket.once('close', () => {
      acceptedOffers.closed(socket, monotonicMs());
    });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
