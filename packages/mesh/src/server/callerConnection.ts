/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * A connection of a caller: reads complete requests, writes the responses in request order, and notifies pending requests when the
 * caller disconnects.
 */

import type { Socket } from 'node:net';
import { kShortBodyBytes, type MemoryLease, monotonicMs, ResponseSequence } from '@gentiandrum/core';
import { BodyCollector } from '../http/bodyCollector.js';
import { MessageParser, type MessageHead } from '../http/messageParser.js';
import { encodeResponse, writeParts } from '../http/messageText.js';
import { CallerRequest, type CallerResponse } from './callerRequest.js';
import type { ConnectionOwner, ReadFault } from './connectionOwner.js';

/** Largest number of requests of one connection that are in flight at once; further ones wait. */
const kMaxPipelined = 32;
/** Longest time for reading a body, in milliseconds; shorter if the caller's deadline is earlier. */
const kMaxBodyWaitMs = 30_000;
/** Longest time for which a request waits for the memory for its body, in milliseconds, and as a share of the time until its deadline. */
const kMaxMemoryWaitMs = 2_000;
const kMemoryWaitShare = 0.5;
/** Time for discarding received bytes after the last response, in milliseconds: closing a socket with unread bytes resets it. */
const kLingerMs = 1_000;
/** Additional time beyond the configured idle timeout, in milliseconds: makes requests that race with the close rare. */
const kIdleGraceMs = 1_000;

/** Unsent response data below which a connection counts as read, in bytes: a buffer of the socket. */
const kMinUnreadBytes = 16_384;

const kContinueResponse = 'HTTP/1.1 100 Continue\r\n\r\n';

export class CallerConnection {
  private readonly _parser: MessageParser;
  /** Requests whose responses have not been written. */
  private readonly _sequence = new ResponseSequence<CallerRequest>();
  /** Complete requests that have not been started, the oldest first. */
  private readonly _readRequests: CallerRequest[] = [];
  private _startedCount = 0;
  /** The request whose body is being read. */
  private _reading: CallerRequest | undefined;
  private readonly _body = new BodyCollector();
  /** Time until which the body that is being read may wait for memory, on the monotonic clock; undefined if it does not wait. */
  private _memoryWaitUntil: number | undefined;
  /** Memory of the responses that the caller has not read. */
  private _unread: MemoryLease | undefined;
  private _bodyTimer: NodeJS.Timeout | undefined;
  private _idleSince = monotonicMs();
  private _headStartedAt: number | undefined;
  /** This daemon has closed its end of the connection. */
  private _ended = false;
  private _disconnected = false;
  private _closed = false;

  constructor(
    private readonly _socket: Socket,
    private readonly _owner: ConnectionOwner,
  ) {
    this._parser = new MessageParser('request', {
      onHead: (head) => {
        this._handleHead(head);
      },
      onBody: (part) => {
        this._handleBody(part);
      },
      onEnd: () => {
        this._handleMessageEnd();
      },
    });
    _socket.on('data', (bytes: Buffer) => {
      this._handleData(bytes);
    });
    _socket.on('end', () => {
      this._handleDisconnect();
    });
    _socket.on('error', () => {
      // A `close` event follows and ends the pending requests.
    });
    _socket.on('close', () => {
      this._handleClose();
    });
    _socket.on('finish', () => {
      this._idleSince = monotonicMs();
    });
    _socket.on('drain', () => {
      this._countUnread();
      this._startRequests();
    });
  }

  /** Whether response data has not been sent yet. */
  get writing(): boolean {
    return this._socket.writableLength > 0;
  }

  /** Enforces the connection's timeouts; called a few times a second. */
  check(now: number): void {
    const { headerTimeoutMs, idleTimeoutMs } = this._owner.limits;
    const idle = this._sequence.pending.length === 0;
    this._countUnread();
    if (this._reading && this._memoryWaitUntil !== undefined && now > this._memoryWaitUntil) {
      this._rejectRequest(this._reading, 'no_memory');
      return;
    }
    if (!this._sequence.accepting) {
      // A caller may read slowly; after the end of the connection it has as long for the rest as an idle connection is kept.
      if (idle && now - this._idleSince > (this.writing ? idleTimeoutMs : kLingerMs)) {
        this._socket.destroy();
      }
    } else if (this._headStartedAt !== undefined && now - this._headStartedAt > headerTimeoutMs) {
      this._failConnection('head_too_late');
    } else if (idle && now - this._idleSince > idleTimeoutMs + kIdleGraceMs) {
      this._endConnection();
    }
  }

  /** Closes the connection if it is idle; otherwise it closes after its last response. */
  stop(): void {
    if (this._sequence.pending.length === 0 && !this._sequence.ended) {
      this._endConnection();
    }
  }

  /** Accepts no requests behind those that have been started; a request that is being read is still completed. */
  chooseLast(): void {
    const [waiting] = this._readRequests;
    if (waiting) {
      this._dropFrom(waiting);
    } else {
      this._sequence.chooseLast();
    }
  }

  /** Sends the response to a request; see {@link CallerRequest.respond}. */
  respond(req: CallerRequest, response: CallerResponse): void {
    if (req.response || this._closed) {
      response.memory?.release();
      return;
    }
    req.onDisconnect = undefined;
    this._releaseBody(req);
    req.response = response;
    this._writeResponses();
  }

  private _writeResponses(): void {
    for (const { req, last } of this._sequence.takeReady(this._owner.phase)) {
      this._startedCount--;
      this._writeResponse(req, last);
      if (last) {
        this._endConnection();
      }
    }
    this._idleSince = monotonicMs();
    if (this._readRequests.length > 0 || this._socket.isPaused()) {
      this._startRequests();
    }
  }

  private _writeResponse({ method, response }: CallerRequest, last: boolean): void {
    if (response) {
      const { status, headers, body, memory } = response;
      const all = last ? [...headers, 'connection', 'close'] : headers;
      writeParts(this._socket, encodeResponse(status, all, body, method === 'HEAD'));
      this._countUnread();
      memory?.release();
    }
  }

  /** Counts the response data that the system has not taken, because the caller does not read it. */
  private _countUnread(): void {
    // `writableNeedDrain` would be false once the connection ends, although data is still to be sent.
    const bytes = this._closed ? 0 : this._socket.writableLength;
    if (bytes < kMinUnreadBytes) {
      this._unread?.release();
      this._unread = undefined;
      return;
    }
    this._unread ??= this._owner.memory.open('unread_responses');
    this._unread.hold(bytes);
    this._unread.shrink(this._unread.bytes - bytes);
  }

  /** Drops a request that has not been started, and those behind it; the caller considers them unprocessed. */
  private _dropFrom(waiting: CallerRequest): void {
    for (const req of this._sequence.dropFrom(waiting)) {
      this._releaseBody(req);
    }
    this._readRequests.length = 0;
    this._stopReading();
    if (this._sequence.ended) {
      this._endConnection();
    }
  }

  private _endConnection(): void {
    this._sequence.end();
    this._ended = true;
    this._idleSince = monotonicMs();
    this._socket.end();
    this._socket.resume();
  }

  private _handleData(bytes: Buffer): void {
    if (this._closed || (!this._sequence.accepting && !this._reading)) {
      return;
    }
    this._parser.maxHeadBytes = this._owner.limits.headerBytes;
    const fault = this._parser.push(bytes);
    this._updateTimeouts();
    this._startRequests();
    if (fault) {
      this._failConnection(fault);
    }
  }

  /** Starts and stops the timeouts for the head and the body that are being read. */
  private _updateTimeouts(): void {
    const reading = this._reading;
    if (reading) {
      this._bodyTimer ??= setTimeout(
        () => {
          this._rejectRequest(reading, 'body_too_late');
        },
        Math.min(kMaxBodyWaitMs, reading.headers.remainingMs),
      );
    }
    if (this._parser.inMessage && !reading) {
      this._headStartedAt ??= monotonicMs();
    } else {
      this._headStartedAt = undefined;
    }
  }

  /**
   * Starts complete requests up to the pipelining limit. Called only after the parser has returned, because a request may close the
   * connection and its parser. Pauses reading while requests wait or the caller does not read its responses.
   */
  private _startRequests(): void {
    while (this._readRequests.length > 0 && this._startedCount < kMaxPipelined && !this._socket.writableNeedDrain) {
      const req = this._readRequests.shift();
      if (req) {
        this._startedCount++;
        this._owner.onRequest(req);
      }
    }
    const full = this._readRequests.length > 0 || this._startedCount >= kMaxPipelined || this._socket.writableNeedDrain;
    if ((full || this._memoryWaitUntil !== undefined) && !this._closed) {
      this._socket.pause();
    } else if (this._socket.isPaused()) {
      this._socket.resume();
    }
  }

  private _handleHead({ method, target, headers: raw, keepAlive }: MessageHead): void {
    if (!this._sequence.accepting) {
      return;
    }
    const headers = this._owner.headers.readRequest(raw);
    const req = new CallerRequest(this, method, target, headers);
    this._sequence.add(req, this._owner.phase);
    if (!keepAlive) {
      this._sequence.chooseLast();
    }
    this._reading = req;
    if (method === 'CONNECT') {
      // The parser takes what follows for the data of a tunnel, also a body, which must not be read as the next request.
      this._rejectRequest(req, 'malformed');
    } else if (headers.bodyBytes > this._owner.limits.bodyBytes) {
      this._rejectRequest(req, 'body_too_long');
    } else if (headers.bodyBytes > kShortBodyBytes) {
      this._reserveMemory(req);
    } else {
      this._sendContinue(req);
    }
  }

  /** Reserves memory for a body of known length; until it is available, the body is not read. */
  private _reserveMemory(req: CallerRequest): void {
    req.memory = this._owner.memory.open('requests');
    const reservation = req.memory.reserve(req.headers.bodyBytes, () => {
      this._memoryWaitUntil = undefined;
      this._sendContinue(req);
      this._startRequests();
    });
    switch (reservation) {
      case 'granted':
        this._sendContinue(req);
        return;
      case 'waiting':
        this._memoryWaitUntil = monotonicMs() + Math.min(kMaxMemoryWaitMs, req.remainingMs * kMemoryWaitShare);
        return;
      case 'too_long':
        this._rejectRequest(req, 'no_memory');
        return;
    }
  }

  private _sendContinue({ headers }: CallerRequest): void {
    if (headers.expectsContinue && this._sequence.pending.length === 1) {
      this._socket.write(kContinueResponse);
    }
  }

  private _handleBody(part: Buffer): void {
    const req = this._reading;
    if (!req) {
      return;
    }
    this._body.append(part);
    if (this._body.bytes > this._owner.limits.bodyBytes) {
      this._rejectRequest(req, 'body_too_long');
    } else if (!this._holdBody(req, this._body.bytes)) {
      this._rejectRequest(req, 'no_memory');
    }
  }

  /** Counts the bytes of a body that were received; returns false if there is no memory for more. */
  private _holdBody(req: CallerRequest, bytes: number): boolean {
    if (!req.memory) {
      if (this._owner.memory.full) {
        return false;
      }
      req.memory = this._owner.memory.open('requests');
    }
    if (bytes <= req.memory.bytes) {
      // The length was stated, and its memory reserved.
      return true;
    }
    if (this._memoryWaitUntil !== undefined) {
      // Received together with the head, so it is held already.
      req.memory.hold(bytes);
      return true;
    }
    if (bytes > kShortBodyBytes && !req.memory.long) {
      req.memory.onDropped = () => {
        this._rejectRequest(req, 'no_memory');
      };
    }
    return req.memory.grow(bytes);
  }

  private _handleMessageEnd(): void {
    const req = this._reading;
    this._reading = undefined;
    this._stopBodyTimer();
    if (!req) {
      return;
    }
    req.memory?.complete();
    req.body = this._body.take();
    this._readRequests.push(req);
  }

  private _stopReading(): void {
    this._reading = undefined;
    this._memoryWaitUntil = undefined;
    this._body.clear();
    this._stopBodyTimer();
  }

  private _stopBodyTimer(): void {
    clearTimeout(this._bodyTimer);
    this._bodyTimer = undefined;
  }

  /** Rejects a request that was not read completely; the connection closes after the response. */
  private _rejectRequest(req: CallerRequest, fault: ReadFault): void {
    req.receivedBytes = this._body.bytes;
    this._stopReading();
    this._sequence.chooseLast();
    this._startedCount++;
    this._owner.onFault(req, fault);
  }

  /** Rejects the current request, or an unparsed one, after malformed input or a timeout. */
  private _failConnection(fault: ReadFault): void {
    if (this._closed) {
      return;
    }
    if (this._reading) {
      this._rejectRequest(this._reading, fault);
    } else if (this._sequence.accepting) {
      const req = new CallerRequest(this, '', '', this._owner.headers.readRequest([]));
      this._sequence.add(req, this._owner.phase);
      this._rejectRequest(req, fault);
    }
  }

  private _releaseBody(req: CallerRequest): void {
    req.takeMemory()?.release();
  }

  /** The caller has closed its end of the connection. */
  private _handleDisconnect(): void {
    if (this._disconnected) {
      return;
    }
    this._disconnected = true;
    this._stopReading();
    this._readRequests.length = 0;
    for (const req of this._sequence.pending) {
      this._owner.onUnanswered(req, this._ended ? 'daemon' : 'caller');
      this._releaseBody(req);
      req.response?.memory?.release();
      req.onDisconnect?.();
      req.onDisconnect = undefined;
    }
  }

  private _handleClose(): void {
    if (this._closed) {
      return;
    }
    this._closed = true;
    this._handleDisconnect();
    this._countUnread();
    this._parser.close();
    this._owner.onClose(this);
  }
}
