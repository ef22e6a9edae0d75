/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A connection to the target of this host: sends one request at a time and reads its complete response. */

import { connect, type Socket } from 'node:net';
import { kShortBodyBytes, type MemoryAccount, type MemoryLease, monotonicMs } from '@gentiandrum/core';
import { splitAddress } from '../app/addresses.js';
import type { ResponseHeaders, HeaderReader } from '../http/headerReader.js';
import { BodyCollector } from '../http/bodyCollector.js';
import { MessageParser, type MessageHead } from '../http/messageParser.js';
import { writeParts } from '../http/messageText.js';
import { hasStatusLine, isJoinedHead, StatusLineScanner } from '../http/statusLineScanner.js';
import { ConnectionHistory } from './connectionHistory.js';
import type { ExchangeEvents, ExchangeOutcome, UnsolicitedData } from './targetExchange.js';

/** Connection timeout on the same host, in milliseconds. */
const kConnectMs = 1_000;
/** Time for which idle connections are kept when the target sends no keep-alive timeout, in milliseconds. */
const kKeepAliveMs = 4_000;
/** Time before the target's keep-alive timeout at which an idle connection is closed, in milliseconds. */
const kKeepAliveMarginMs = 1_000;

/** Largest number of interim responses (1xx) before a response. */
const kMaxInterimResponses = 100;

const kTooLongReason = 'response too long for the memory of this daemon';
const kTooManyInterimReason = 'too many interim responses';
const kJoinedReason = 'response joined with another one';
const kLateReason = 'response to an earlier request';

/** Read buffer shared by all connections; its bytes are parsed before the next read. Avoids an allocation for each read. */
const readBuffer = Buffer.allocUnsafeSlow(65_536);

export interface TargetConnectionEvents {
  /** The connection attempt succeeded or failed. */
  onReachability(evidence: 'connected' | 'refused' | 'timed_out'): void;
  /** The target sent data that is not a response to the request; `requestId` is empty if there is none. */
  onUnsolicited(kind: UnsolicitedData, requestId: string): void;
  /** The connection is ready for the next request. */
  onIdle(connection: TargetConnection): void;
  /** The connection accepts no further requests. */
  onClosed(connection: TargetConnection): void;
}

export class TargetConnection {
  private readonly _socket: Socket;
  private readonly _parser: MessageParser;
  private _connectedAt = Infinity;
  private _refused = false;
  private _closed = false;
  private _closedByTarget = false;
  private _exchange: ExchangeEvents | undefined;
  private _isHead = false;
  private _requestId = '';
  private _head: MessageHead | undefined;
  private _responseHeaders: ResponseHeaders | undefined;
  private readonly _body = new BodyCollector(true);
  /** Memory of the long body that is received. */
  private _bodyMemory: MemoryLease | undefined;
  private _interimResponses = 0;
  private readonly _history = new ConnectionHistory();
  /** Scans the late response to an earlier request that is being discarded. */
  private _discarded: StatusLineScanner | undefined;
  /** Why the rest of the response is not read; set while a chunk is parsed. */
  private _refusedReason: string | undefined;
  /** The response is complete; it is delivered after the rest of the chunk has been parsed. */
  private _complete = false;
  /** Bytes were received that belong to no request. */
  private _unsolicited = false;
  private _idleUntil = Infinity;

  constructor(
    address: string,
    private readonly _headers: HeaderReader,
    private readonly _events: TargetConnectionEvents,
    private readonly _memory: MemoryAccount,
  ) {
    this._parser = new MessageParser(
      'answer',
      {
        onHead: (head) => {
          this._handleHead(head);
        },
        onBody: (part) => {
          if (!this._unsolicited && this._refusedReason === undefined) {
            this._handleBody(part);
          }
        },
        onEnd: (trailers) => {
          this._handleMessageEnd(trailers);
        },
      },
      () => this._isHead,
    );
    this._socket = connect({
      ...splitAddress(address),
      noDelay: true,
      timeout: kConnectMs,
      onread: {
        buffer: readBuffer,
        callback: (bytes) => {
          this._handleData(readBuffer.subarray(0, bytes));
          return true;
        },
      },
    });
    this._socket.on('connect', () => {
      this._handleConnect();
    });
    this._socket.on('timeout', () => {
      this.close('connection timed out');
    });
    this._socket.on('error', (err: NodeJS.ErrnoException) => {
      this._refused = err.code === 'ECONNREFUSED';
      this._closedByTarget = true;
      this.close(err.code ?? err.message);
    });
    this._socket.on('end', () => {
      this._handleEnd();
    });
    this._socket.on('close', () => {
      this._closedByTarget = true;
      this.close('closed by the target');
    });
  }

  /** Monotonic time at which the connection was established; `Infinity` before. */
  get connectedAt(): number {
    return this._connectedAt;
  }

  /** Whether the target closed the connection. */
  get closedByTarget(): boolean {
    return this._closedByTarget;
  }

  /** Whether the connection is within the target's keep-alive timeout. */
  isReusable(now: number): boolean {
    return !this._closed && now < this._idleUntil;
  }

  /** Whether a late response to an earlier request would be told from the response to a request with this id. */
  allows(requestId: string): boolean {
    return this._history.allows(requestId);
  }

  /** Sends a request; the connection must be idle and allow its id. */
  send(parts: readonly Buffer[], { requestId, isHead }: { requestId: string; isHead: boolean }, exchange: ExchangeEvents): void {
    this._exchange = exchange;
    this._isHead = isHead;
    this._requestId = requestId;
    this._history.add(requestId, isHead);
    writeParts(this._socket, parts);
  }

  /** Closes the connection and ends its request; `aborted` when that says nothing about the target's reachability. */
  close(reason: string, aborted = false): void {
    if (this._closed) {
      return;
    }
    this._closed = true;
    this._socket.destroy();
    this._parser.close();
    this._bodyMemory?.release();
    this._body.clear();
    this._events.onClosed(this);
    if (!this._isConnected && !aborted) {
      this._events.onReachability(this._refused ? 'refused' : 'timed_out');
    }
    this._finish(this._isConnected ? { kind: 'broken', reason, byTarget: this._closedByTarget } : { kind: 'unreachable' });
  }

  /** Closes the connection of a crashed target; the close counts as one by the target. */
  closeAfterCrash(reason: string): void {
    this._closedByTarget = true;
    this.close(reason, true);
  }

  private get _isConnected(): boolean {
    return this._connectedAt < Infinity;
  }

  private _handleConnect(): void {
    this._connectedAt = monotonicMs();
    this._socket.setTimeout(0);
    this._events.onReachability('connected');
    if (!this._exchange) {
      this._becomeIdle(undefined);
    }
  }

  private _handleData(bytes: Buffer): void {
    if (this._closed) {
      return;
    }
    const fault = this._parser.push(bytes);
    if (this._refusedReason !== undefined) {
      this.close(this._refusedReason);
      return;
    }
    const behind = this._complete && this._parser.inMessage;
    const broken = fault !== undefined || this._unsolicited || this._exchange === undefined || behind;
    if (this._complete && broken) {
      this._events.onUnsolicited('behind_response', this._requestId);
    } else if (!this._complete && !this._exchange) {
      this._events.onUnsolicited('without_request', '');
    }
    if (this._complete) {
      this._deliverResponse(broken);
    } else if (broken) {
      this.close(fault ?? 'unsolicited data');
    }
  }

  /** A response without a length is complete when the target closes the connection cleanly. */
  private _handleEnd(): void {
    if (!this._closed && this._exchange && this._head) {
      this._parser.finish();
      if (this._complete) {
        this._deliverResponse(true);
      }
    }
    this._closedByTarget = true;
    this.close('closed by the target');
  }

  private _handleHead(head: MessageHead): void {
    this._unsolicited ||= this._exchange === undefined || this._complete;
    if (this._unsolicited || this._refusedReason !== undefined) {
      return;
    }
    if (isJoinedHead(head)) {
      this._refuseMessage('joined_heads', kJoinedReason);
      return;
    }
    if (!isFinalStatus(head.status)) {
      this._head = head;
      this._interimResponses++;
      this._refusedReason = this._interimResponses > kMaxInterimResponses ? kTooManyInterimReason : undefined;
      return;
    }
    this._interimResponses = 0;
    const headers = this._headers.readResponse(head.headers, head.status);
    switch (this._history.ownerOf(headers)) {
      case 'last_request':
        this._startResponse(head, headers);
        return;
      case 'earlier_request':
        this._discarded = new StatusLineScanner();
        this._events.onUnsolicited('other_request', this._requestId);
        return;
      case 'doubtful':
        this._refuseMessage('other_request', kLateReason);
        return;
    }
  }

  /** Gives up the response once the current chunk is parsed, as it may be joined with other data. */
  private _refuseMessage(kind: UnsolicitedData, reason: string): void {
    this._refusedReason = reason;
    this._events.onUnsolicited(kind, this._requestId);
  }

  private _startResponse(head: MessageHead, headers: ResponseHeaders): void {
    this._head = head;
    this._responseHeaders = headers;
    this._exchange?.onHead(head.status, headers);
    const { bodyBytes } = headers;
    if (bodyBytes !== undefined && bodyBytes > kShortBodyBytes && !this._isHead) {
      this._reserveMemory(bodyBytes);
    }
  }

  /** Reserves memory for a body of known length; the target has to wait until it is available. */
  private _reserveMemory(bytes: number): void {
    this._bodyMemory = this._memory.open('target_responses');
    const reservation = this._bodyMemory.reserve(bytes, () => {
      this._socket.resume();
    });
    switch (reservation) {
      case 'granted':
        return;
      case 'waiting':
        this._socket.pause();
        return;
      case 'too_long':
        this._refuseBody(bytes);
        return;
    }
  }

  private _handleBody(part: Buffer): void {
    if (this._discarded) {
      this._discard(this._discarded, part);
      return;
    }
    this._body.append(part);
    const { bytes } = this._body;
    if (bytes <= kShortBodyBytes || this._responseHeaders?.bodyBytes !== undefined) {
      return;
    }
    if (!this._bodyMemory) {
      this._bodyMemory = this._memory.open('target_responses');
      this._bodyMemory.onDropped = () => {
        this._exchange?.onRefused(this._body.bytes);
        this.close(kTooLongReason);
      };
    }
    if (!this._bodyMemory.grow(bytes)) {
      this._refuseBody(bytes);
    }
  }

  /** Discards a part of a late body. If it was incomplete, it contains the status line of the response to the request. */
  private _discard(scanner: StatusLineScanner, part: Buffer): void {
    if (scanner.push(part)) {
      this._refuseMessage('joined_heads', kJoinedReason);
    } else if (!this._history.discard(part.length)) {
      this._refusedReason = kLateReason;
    }
  }

  /** Gives up the response once the current chunk is parsed. */
  private _refuseBody(bytes: number): void {
    this._refusedReason = kTooLongReason;
    this._exchange?.onRefused(bytes);
  }

  private _handleMessageEnd(trailers: readonly string[]): void {
    if (this._discarded) {
      this._discarded = undefined;
      if (this._refusedReason === undefined && isJoinedHead({ reason: '', headers: trailers })) {
        this._refuseMessage('joined_heads', kJoinedReason);
      }
      return;
    }
    if (!this._unsolicited && this._head && isFinalStatus(this._head.status)) {
      this._complete = true;
    }
  }

  /** Delivers the response after the whole chunk is parsed, so that surplus bytes are detected first. */
  private _deliverResponse(broken: boolean): void {
    const head = this._head;
    const headers = this._responseHeaders;
    if (!head || !headers) {
      return;
    }
    const memory = this._bodyMemory;
    const body = this._body.take();
    if (broken && hasStatusLine(body)) {
      // A response that was cut takes the next one for its own rest, and what is left of that follows.
      this.close(kJoinedReason);
      return;
    }
    const response = { status: head.status, headers, body, memory };
    this._head = undefined;
    this._bodyMemory = undefined;
    memory?.complete();
    this._complete = false;
    const exchange = this._exchange;
    this._exchange = undefined;
    if (broken || !head.keepAlive || !this._history.allowsReuse) {
      this.close('connection not kept alive');
    } else {
      this._becomeIdle(headers.keepAliveSeconds);
    }
    exchange?.onDone({ kind: 'answered', response });
  }

  /** Becomes idle once the request is written completely; a target may respond before it has read all of it. */
  private _becomeIdle(keepAliveSeconds: number | undefined): void {
    const idleMs = keepAliveSeconds === undefined ? kKeepAliveMs : keepAliveSeconds * 1_000 - kKeepAliveMarginMs;
    this._idleUntil = monotonicMs() + idleMs;
    if (idleMs <= 0) {
      this.close('keep-alive timeout too short');
    } else if (this._socket.writableLength > 0) {
      this._socket.once('drain', () => {
        this._events.onIdle(this);
      });
    } else {
      this._events.onIdle(this);
    }
  }

  private _finish(outcome: ExchangeOutcome): void {
    const exchange = this._exchange;
    this._exchange = undefined;
    exchange?.onDone(outcome);
  }
}

/** Interim responses (1xx) precede the final one. */
function isFinalStatus(status: number): boolean {
  return status >= 200;
}
