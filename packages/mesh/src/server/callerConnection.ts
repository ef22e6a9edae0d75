/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * One connection of a caller: reads requests whole, writes their answers in the order of the requests, and tells each request
 * that its caller has left.
 */

import type { Socket } from 'node:net';
import { monotonicMs } from '@gentiandrum/core';
import type { HeaderReader, RequestHeaders } from '../http/headerReader.js';
import { MessageParser, type MessageHead, type ParseFault } from '../http/messageParser.js';
import { answerBytes, writeParts } from '../http/messageText.js';
import type { BodyMemory } from './bodyMemory.js';

/** Requests of one connection that may be under way at once; more wait until some are answered. */
const kMaxPipelined = 32;
/** Longest wait for a body that doesn't come, in milliseconds, when the caller names no time. */
const kMaxBodyWaitMs = 30_000;
/** Time for which bytes of the caller are read on and dropped after the last answer, in milliseconds: unread ones would reset it. */
const kLingerMs = 1_000;
/** Grace beyond the idle limit that callers know, in milliseconds, so that a request that crosses the close is rare. */
const kIdleGraceMs = 1_000;

const kContinueResponse = 'HTTP/1.1 100 Continue\r\n\r\n';
const kNoBody = Buffer.alloc(0);

/** Limits of the configuration on what callers send. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Time for a head, in milliseconds. */
  headerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds. */
  idleTimeoutMs: number;
}

/** Why a request is answered before it was read. */
export type ReadFault = ParseFault | 'head_too_late' | 'body_too_long' | 'body_too_late' | 'no_memory';

/** What a connection uses of its server. */
export interface ConnectionOwner {
  readonly headers: HeaderReader;
  readonly memory: BodyMemory;
  readonly limits: CallerLimits;
  /** Whether connections end with their next answer. */
  readonly closing: boolean;
  /** A request that was read whole. */
  onRequest(req: CallerRequest): void;
  /** A request that can't be read; its answer ends the connection. */
  onFault(req: CallerRequest, fault: ReadFault): void;
  onClose(connection: CallerConnection): void;
}

/** One request of a caller. */
export class CallerRequest {
  body: Buffer = kNoBody;
  /** When its head was read, on the monotonic clock: from then on its caller waits, also while the body comes. */
  readonly receivedAt = monotonicMs();
  /** Called when the caller leaves before its answer. */
  onDisconnect: (() => void) | undefined;
  /** Bytes of its body that count as held. */
  reservedBytes = 0;
  /** The answer, once there is one. */
  response: Buffer[] | undefined;
  /** Whether it was decided whether it is let in. */
  entryDecided = false;
  /** Whether nothing more can be read of the connection behind this request. */
  isLast = false;

  constructor(
    private readonly _connection: CallerConnection,
    readonly method: string,
    readonly target: string,
    readonly headers: RequestHeaders,
  ) {}

  /** Gives the final answer; further ones, and those to a caller that left, are dropped. */
  respond(status: number, headers: string[], body: Buffer): void {
    this._connection.respond(this, status, headers, body);
  }
}

/** One connection. */
export class CallerConnection {
  private readonly _parser: MessageParser;
  /** Requests without an answer on the wire, the oldest first. */
  private readonly _pending: CallerRequest[] = [];
  /** Requests that were read and not begun, the oldest first. */
  private readonly _readRequests: CallerRequest[] = [];
  private _startedCount = 0;
  /** The request whose body is being read. */
  private _reading: CallerRequest | undefined;
  private _parts: Buffer[] = [];
  private _bodyTimer: NodeJS.Timeout | undefined;
  private _idleSince = monotonicMs();
  private _headStartedAt: number | undefined;
  /** Nothing more is read: the connection ends with the last pending answer, and what still comes is dropped. */
  private _ending = false;
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
      // The reason does not matter: `close` follows, and the caller is gone.
    });
    _socket.on('close', () => {
      this._handleClose();
    });
    _socket.on('drain', () => {
      this._startRequests();
    });
  }

  /** Whether answers wait for the caller to read. */
  get writing(): boolean {
    return this._socket.writableLength > 0;
  }

  /** Looks at the connection's time limits; called a few times a second. */
  check(now: number): void {
    const { headerTimeoutMs, idleTimeoutMs } = this._owner.limits;
    if (this._ending) {
      if (this._pending.length === 0 && now - this._idleSince > kLingerMs) {
        this._socket.destroy();
      }
    } else if (this._headStartedAt !== undefined && now - this._headStartedAt > headerTimeoutMs) {
      this._failConnection('head_too_late');
    } else if (this._pending.length === 0 && !this._reading && now - this._idleSince > idleTimeoutMs + kIdleGraceMs) {
      this._endConnection();
    }
  }

  /** Ends the connection now if it is idle, else with its last answer. */
  stop(): void {
    if (this._pending.length === 0 && !this._reading && !this._ending) {
      this._endConnection();
    }
  }

  /** Takes the answer to a request; see {@link CallerRequest.respond}. */
  respond(req: CallerRequest, status: number, headers: string[], body: Buffer): void {
    if (req.response || this._closed) {
      return;
    }
    req.onDisconnect = undefined;
    this._releaseBody(req);
    const last = this._isLast(req);
    const all = last ? [...headers, 'connection', 'close'] : headers;
    req.response = answerBytes(status, all, body, req.method === 'HEAD');
    req.isLast = last;
    this._writeResponses();
  }

  /** Only behind the last request that was read is the connection closed: those behind a close count as not read. */
  private _isLast(req: CallerRequest): boolean {
    return this._pending.at(-1) === req && (req.isLast || this._ending || this._owner.closing);
  }

  private _writeResponses(): void {
    while (this._pending[0]?.response) {
      const req = this._pending.shift();
      this._startedCount--;
      writeParts(this._socket, req?.response ?? []);
      if (req?.isLast) {
        this._endConnection();
      }
    }
    this._idleSince = monotonicMs();
    if (this._readRequests.length > 0 || this._socket.isPaused()) {
      this._startRequests();
    }
  }

  private _endConnection(): void {
    this._ending = true;
    this._idleSince = monotonicMs();
    this._socket.end();
    this._socket.resume();
  }

  private _handleData(bytes: Buffer): void {
    if (this._ending || this._closed) {
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

  /** Time limits run for what has begun and not ended. */
  private _updateTimeouts(): void {
    const reading = this._reading;
    if (reading && !this._ending) {
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
   * Begins what was read, as far as there is room: once all bytes are parsed, as what a request causes must not meet a parser at
   * work. Nothing more is read while requests wait, or a caller doesn't read.
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
    if (full && !this._closed) {
      this._socket.pause();
    } else if (this._socket.isPaused()) {
      this._socket.resume();
    }
  }

  private _handleHead({ method, target, headers: raw, keepAlive }: MessageHead): void {
    if (this._ending) {
      return;
    }
    const headers = this._owner.headers.readRequest(raw);
    const req = new CallerRequest(this, method, target, headers);
    req.isLast = !keepAlive;
    this._pending.push(req);
    this._reading = req;
    if (headers.bodyBytes > this._owner.limits.bodyBytes) {
      this._rejectRequest(req, 'body_too_long');
    } else if (headers.expectsContinue && this._pending.length === 1) {
      this._socket.write(kContinueResponse);
    }
  }

  private _handleBody(part: Buffer): void {
    const req = this._reading;
    if (!req || this._ending) {
      return;
    }
    if (!this._owner.memory.reserve(part.length)) {
      this._rejectRequest(req, 'no_memory');
      return;
    }
    req.reservedBytes += part.length;
    this._parts.push(part);
    if (req.reservedBytes > this._owner.limits.bodyBytes) {
      this._rejectRequest(req, 'body_too_long');
    }
  }

  private _handleMessageEnd(): void {
    const req = this._reading;
    this._reading = undefined;
    this._stopBodyTimer();
    if (!req || this._ending) {
      return;
    }
    const [only] = this._parts;
    req.body = this._parts.length === 1 && only ? only : Buffer.concat(this._parts);
    this._parts = [];
    this._readRequests.push(req);
    this._ending = req.isLast;
  }

  private _stopBodyTimer(): void {
    clearTimeout(this._bodyTimer);
    this._bodyTimer = undefined;
  }

  /** Answers a request that is not read to its end; the connection ends behind it. */
  private _rejectRequest(req: CallerRequest, fault: ReadFault): void {
    this._stopBodyTimer();
    this._parts = [];
    this._ending = true;
    this._startedCount++;
    this._owner.onFault(req, fault);
  }

  /** Bytes came that are no request, or none came in time. */
  private _failConnection(fault: ReadFault): void {
    if (this._ending || this._closed) {
      return;
    }
    this._rejectRequest(this._reading ?? this._addUnparsedRequest(), fault);
  }

  private _addUnparsedRequest(): CallerRequest {
    const req = new CallerRequest(this, '', '', this._owner.headers.readRequest([]));
    req.isLast = true;
    this._pending.push(req);
    return req;
  }

  private _releaseBody(req: CallerRequest): void {
    this._owner.memory.release(req.reservedBytes);
    req.reservedBytes = 0;
  }

  /** The caller is gone, or will read nothing more. */
  private _handleDisconnect(): void {
    this._stopBodyTimer();
    this._parts = [];
    this._readRequests.length = 0;
    for (const req of this._pending) {
      this._releaseBody(req);
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
    this._parser.close();
    this._owner.onClose(this);
  }
}
