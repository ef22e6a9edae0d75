/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Closes connections with the response to their last request. Node closes a connection after any response with `Connection: close`, also if
 * it has started requests behind it, so the header may only be set once no request stands behind the response.
 */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { ResponseSequence, type SequencedRequest, type ServerPhase } from '@gentiandrum/core';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { hasBody } from './requestReader.js';

/** A response that is sent after those to older requests of its connection. */
class OrderedResponse implements SequencedRequest {
  ready = false;
  /** Continues to send; undefined if the response was not sent through the server's hooks. */
  send: (() => void) | undefined;

  constructor(
    readonly reply: FastifyReply,
    readonly sequence: ResponseSequence<OrderedResponse>,
  ) {}
}

export class ResponseOrder {
  private readonly _sequences = new Map<Socket, ResponseSequence<OrderedResponse>>();
  private readonly _responses = new WeakMap<FastifyReply, OrderedResponse>();
  private _ending = false;

  /** @param _stopping whether a graceful shutdown is in progress */
  constructor(
    fastify: FastifyInstance,
    private readonly _stopping: () => boolean,
  ) {
    fastify.addHook('onRequest', (req, reply, done) => {
      this._handleRequest(req, reply, done);
    });
    fastify.addHook('onSend', (_req, reply, _payload, done) => {
      this._handleResponse(reply, done);
    });
  }

  /** Closes each connection with the response to its newest request. */
  endConnections(): void {
    this._ending = true;
    for (const sequence of this._sequences.values()) {
      sequence.chooseLast();
    }
  }

  private get _phase(): ServerPhase {
    if (this._ending) {
      return 'ending';
    }
    return this._stopping() ? 'draining' : 'serving';
  }

  private _handleRequest({ raw }: FastifyRequest, reply: FastifyReply, done: () => void): void {
    const response = new OrderedResponse(reply, this._sequenceOf(raw.socket));
    if (!response.sequence.add(response, this._phase)) {
      // The caller considers it unprocessed; it ends with the connection.
      reply.hijack();
      return;
    }
    if (raw.headers.upgrade !== undefined) {
      // Node discards the rest of the received bytes, so what follows them is not the start of a request.
      response.sequence.chooseLast();
      stopReadingAfter(raw);
    }
    this._responses.set(reply, response);
    reply.raw.once('close', () => {
      if (!response.ready) {
        this._handleUnhookedEnd(response, raw.socket);
      }
    });
    done();
  }

  /** Responses of the peer protocol are not sent through the server's hooks, so they do not announce a close. */
  private _handleUnhookedEnd(response: OrderedResponse, socket: Socket): void {
    const { sequence } = response;
    response.ready = true;
    this._sendReady(sequence, sequence.pending.length === 1 ? 'serving' : this._phase);
    if (sequence.ended) {
      socket.end();
    }
  }

  private _handleResponse(reply: FastifyReply, done: () => void): void {
    const response = this._responses.get(reply);
    if (!response || response.ready) {
      // Its connection has closed.
      done();
      return;
    }
    if (reply.getHeader('connection') === 'close' && response.sequence.pending.at(-1) === response) {
      response.sequence.chooseLast();
    }
    response.ready = true;
    response.send = done;
    this._sendReady(response.sequence, this._phase);
  }

  private _sendReady(sequence: ResponseSequence<OrderedResponse>, phase: ServerPhase): void {
    for (const { req, last } of sequence.takeReady(phase)) {
      if (req.send) {
        if (last) {
          void req.reply.header('connection', 'close');
        } else {
          void req.reply.removeHeader('connection');
        }
        req.send();
      }
    }
  }

  private _sequenceOf(socket: Socket): ResponseSequence<OrderedResponse> {
    const known = this._sequences.get(socket);
    if (known) {
      return known;
    }
    const sequence = new ResponseSequence<OrderedResponse>();
    this._sequences.set(socket, sequence);
    socket.once('close', () => {
      this._sequences.delete(socket);
    });
    return sequence;
  }
}

/** Stops reading from the connection of a request once its body is complete. */
function stopReadingAfter(req: IncomingMessage): void {
  if (hasBody(req.headers)) {
    req.once('end', () => req.socket.pause());
  } else {
    req.socket.pause();
  }
}
