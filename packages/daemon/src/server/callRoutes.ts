/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** HTTP routes for calls: requests from callers and targets to any service, and offers from other daemons. */

import { offerHeadSchema, kOfferHeader, kVerdictHeader, type OfferHead, type OfferTerms } from '@gentiandrum/protocol';
import { errorResponse, errorResult, kOpenReport, monotonicMs, type OfferResult } from '@gentiandrum/core';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { verdictHeader } from '../app/callSession.js';
import type { Daemon } from '../app/daemon.js';
import { kNoMemoryCode, memoryOf } from './bodyParser.js';
import { sendResult } from './problem.js';
import { readBody, readSingleHeader, readPayload, readTimeout } from './requestReader.js';

const kNoRequestId = 'none';
const kPayloadTooLarge = 413;
const kServerError = 500;
/** Maximum time for which the rest of an oversized request is read and discarded, in milliseconds. */
const kDiscardTimeoutMs = 2_000;
const kEmptyBody = Buffer.alloc(0);
/** Methods that Fastify does not support by default. */
const kExtraMethods = ['PROPFIND', 'PROPPATCH', 'MKCOL', 'COPY', 'MOVE', 'LOCK', 'UNLOCK', 'SEARCH', 'REPORT'];

export function callRoutes(app: FastifyInstance, daemon: Daemon): void {
  for (const method of kExtraMethods) {
    app.addHttpMethod(method, { hasBody: true });
  }
  app.post('/-/offer', (req, reply) => handleOffer(daemon, req, reply));
  app.post('/-/cancel/:attempt', (req, reply) => {
    const { attempt } = req.params as { attempt: string };
    void reply.send(daemon.offers.cancel(attempt));
  });
  app.all('/*', (req, reply) => handleCall(daemon, req, reply));
  app.setErrorHandler(async (err: { statusCode?: number; code?: string; message: string }, req, reply) => {
    const kind = err.code === kNoMemoryCode ? 'overloaded' : errorKindOf(err.statusCode);
    if (kind === 'body_too_large') {
      await discardBody(req.raw);
    }
    if (kind === 'overloaded') {
      return refuseForMemory(daemon, req, reply);
    }
    if (kind === 'internal_error') {
      daemon.logger.error('http', 'Request failed with an internal error.', { err: err.message });
    }
    sendResult(reply, kNoRequestId, errorResult(kind, errorResponse(kind).outcome, err.message));
    return reply;
  });
}

/** Refuses a request or an offer whose body there is no memory for. */
function refuseForMemory(daemon: Daemon, req: FastifyRequest, reply: FastifyReply): FastifyReply {
  const head = readOfferHead(req);
  daemon.decisions.add({
    request: head?.terms.request ?? kNoRequestId,
    ...(head ? { attempt: head.terms.attempt } : {}),
    step: head ? 'gate' : 'refuse',
    cls: head?.terms.className ?? 'none',
    reason: 'no memory for the body',
  });
  if (!head) {
    sendResult(reply, kNoRequestId, daemon.calls.refusal('overloaded'));
    return reply;
  }
  const refused: OfferResult = { kind: 'refused', reason: 'overloaded', unspent: head.terms.allowance, level: kOpenReport };
  return reply.header(kVerdictHeader, verdictHeader(refused)).send(kEmptyBody);
}

/** Maps the status of an error raised by the HTTP server to an error kind; a missing status or 5xx is an internal error. */
function errorKindOf(status: number | undefined): 'body_too_large' | 'bad_request' | 'internal_error' {
  if (status === kPayloadTooLarge) {
    return 'body_too_large';
  }
  return status !== undefined && status < kServerError ? 'bad_request' : 'internal_error';
}

/** Discards the rest of a request body, so that a caller that is still sending can receive the response before the connection closes. */
function discardBody(req: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, kDiscardTimeoutMs);
    const done = (): void => {
      clearTimeout(timer);
      resolve();
    };
    req.once('end', done).once('close', done);
    req.resume();
  });
}

async function handleCall(daemon: Daemon, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const badRequest = (detail: string): FastifyReply => {
    sendResult(reply, kNoRequestId, errorResult('bad_request', 'not_run', detail));
    return reply;
  };
  const memory = memoryOf(daemon, req);
  const read = await readBody(req, daemon.settings.limits.bodyBytes, memory);
  if (read.kind === 'no_memory') {
    return refuseForMemory(daemon, req, reply);
  }
  if (read.kind === 'too_large') {
    sendResult(
      reply,
      kNoRequestId,
      errorResult('body_too_large', 'not_run', `Expected a body of at most ${daemon.settings.limits.bodyBytes} bytes.`),
    );
    return reply;
  }
  const timeout = readTimeout(req);
  const key = readSingleHeader(req, 'idempotency-key');
  if (timeout.err) {
    return badRequest(timeout.val);
  }
  if (key.err) {
    return badRequest(key.val);
  }
  const chain = daemon.tokens.read(req.headers);
  if (chain.kind === 'bad') {
    sendResult(reply, kNoRequestId, errorResult('bad_chain_token', 'not_run', 'Expected the chain token exactly as the daemon issued it.'));
    return reply;
  }
  const { service, payload } = readPayload(req, read.body);
  const token = chain.kind === 'token' ? chain.token : undefined;
  const accepted = daemon.calls.accept({ service, payload, key: key.val, timeoutMs: timeout.val, chain: token, memory });
  const onClose = (): void => {
    if (!reply.raw.writableEnded) {
      accepted.onCallerDisconnect();
    }
  };
  reply.raw.on('close', onClose);
  const result = await accepted.result;
  reply.raw.off('close', onClose);
  sendResult(reply, accepted.id, result);
  return reply;
}

async function handleOffer(daemon: Daemon, req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  const head = readOfferHead(req);
  if (!head) {
    return reply.code(400).send('expected a valid gentiandrum-offer header');
  }
  const { terms, method, path, headers, from } = head;
  const body = Buffer.isBuffer(req.body) ? req.body : kEmptyBody;
  const onClose = (): void => {
    if (!reply.raw.writableEnded) {
      daemon.offers.cancel(terms.attempt);
    }
  };
  reply.raw.on('close', onClose);
  recordOffer(daemon, req.raw.socket, from, terms);
  const result: OfferResult = await daemon.offers.offer(terms, { method, path, headers, body }, memoryOf(daemon, req));
  reply.raw.off('close', onClose);
  if (result.kind === 'refused') {
    daemon.acceptedOffers.refused(req.raw.socket, terms.attempt);
  }
  return reply.header(kVerdictHeader, verdictHeader(result)).send(result.kind === 'answered' ? result.answer.body : kEmptyBody);
}

function readOfferHead(req: FastifyRequest): OfferHead | undefined {
  const text = req.headers[kOfferHeader];
  return offerHeadSchema.safeParse(typeof text === 'string' ? parseJson(text) : undefined).data;
}

function recordOffer({ acceptedOffers }: Daemon, socket: Socket, from: string, { attempt, remainingMs, idempotent }: OfferTerms): void {
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
