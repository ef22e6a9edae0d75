/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Parses the byte stream of an HTTP/1.1 connection with llhttp, the strict parser of undici. Node's HTTP server and undici's client
 * are not used, because they create streams, timers and header objects for each message that the daemon does not need.
 */

import { methodName } from './httpMethods.js';
import llhttpCode from './llhttpCode.cjs';

export interface MessageHead {
  /** Empty in responses. */
  method: string;
  /** Request target; empty in responses. */
  target: string;
  /** 0 in requests. */
  status: number;
  /** Reason phrase; empty in requests. */
  reason: string;
  /** Alternating names and values, as received. */
  headers: string[];
  /** Whether the connection stays open after the message. */
  keepAlive: boolean;
}

/** Callbacks for parsed messages. */
export interface MessageEvents {
  onHead(head: MessageHead): void;
  /** Part of the body; a view of the chunk that was passed to the parser. */
  onBody(part: Buffer): void;
  /** @param trailers alternating names and values behind a chunked body */
  onEnd(trailers: readonly string[]): void;
}

/** Reason for rejecting a message. */
export type ParseFault = 'malformed' | 'head_too_long';

/** Message types of llhttp. */
const kMessageTypes = { request: 1, answer: 2 } as const;
/** Result of a callback that aborts parsing with an error. */
const kAbort = -1;
/**
 * Results of llhttp: success, and a pause after a request that offers a protocol upgrade or a response that announces one. Offers are
 * ignored (RFC 9110, 7.8), and no upgrade is ever offered to a target.
 */
const kOk = 0;
const kPausedUpgrade = 22;
/** Granularity of the size of the library's input buffer, in bytes. */
const kBufferGrowthBytes = 4_096;

/** Exports of the WebAssembly module. */
interface Llhttp {
  memory: WebAssembly.Memory;
  _initialize(): void;
  malloc(bytes: number): number;
  free(at: number): void;
  llhttp_alloc(type: number): number;
  llhttp_free(parser: number): void;
  llhttp_execute(parser: number, at: number, bytes: number): number;
  llhttp_finish(parser: number): number;
  llhttp_get_error_pos(parser: number): number;
  llhttp_get_method(parser: number): number;
  llhttp_resume_after_upgrade(parser: number): void;
}

/** The parser that is running, its chunk, and the chunk's address in the library's memory. Parsing is synchronous. */
let activeParser: MessageParser | undefined;
let activeChunk: Buffer = Buffer.alloc(0);
let activeChunkAddress = 0;

function textAt(at: number, bytes: number): string {
  return activeChunk.toString('latin1', at - activeChunkAddress, at - activeChunkAddress + bytes);
}

function load(): Llhttp {
  const instance = new WebAssembly.Instance(new WebAssembly.Module(llhttpCode.code), {
    env: {
      wasm_on_message_begin: () => activeParser?.onMessageBegin() ?? kAbort,
      wasm_on_url: (_parser: number, at: number, bytes: number) => activeParser?.onTarget(textAt(at, bytes)) ?? kAbort,
      wasm_on_status: (_parser: number, at: number, bytes: number) => activeParser?.onReason(textAt(at, bytes)) ?? kAbort,
      wasm_on_header_field: (_parser: number, at: number, bytes: number) => activeParser?.onHeaderName(textAt(at, bytes)) ?? kAbort,
      wasm_on_header_value: (_parser: number, at: number, bytes: number) => activeParser?.onHeaderValue(textAt(at, bytes)) ?? kAbort,
      wasm_on_headers_complete: (_parser: number, status: number, _upgrade: number, keepAlive: number) =>
        activeParser?.onHeadersComplete(status, keepAlive !== 0) ?? kAbort,
      wasm_on_body: (_parser: number, at: number, bytes: number) =>
        activeParser?.onBodyPart(activeChunk.subarray(at - activeChunkAddress, at - activeChunkAddress + bytes)) ?? kAbort,
      wasm_on_message_complete: () => activeParser?.onMessageComplete() ?? kAbort,
    },
  });
  const exports = instance.exports as Llhttp;
  exports._initialize();
  return exports;
}

const llhttp = load();
let libraryBufferAddress = 0;
let libraryBufferBytes = 0;
let libraryBuffer = new Uint8Array(0);

/** Copies bytes into the library's memory and returns their address. */
function copyToLibrary(bytes: Uint8Array): number {
  if (bytes.length > libraryBufferBytes) {
    if (libraryBufferBytes > 0) {
      llhttp.free(libraryBufferAddress);
    }
    libraryBufferBytes = Math.ceil(bytes.length / kBufferGrowthBytes) * kBufferGrowthBytes;
    libraryBufferAddress = llhttp.malloc(libraryBufferBytes);
  }
  // When the library's memory grows, its previous buffer is detached.
  if (libraryBuffer.buffer !== llhttp.memory.buffer || libraryBuffer.length !== libraryBufferBytes) {
    libraryBuffer = new Uint8Array(llhttp.memory.buffer, libraryBufferAddress, libraryBufferBytes);
  }
  libraryBuffer.set(bytes);
  return libraryBufferAddress;
}

function execute(owner: MessageParser, parser: number, bytes: Buffer): number {
  activeParser = owner;
  activeChunk = bytes;
  activeChunkAddress = copyToLibrary(bytes);
  const result = llhttp.llhttp_execute(parser, activeChunkAddress, bytes.length);
  activeParser = undefined;
  return result;
}

function finish(owner: MessageParser, parser: number): number {
  activeParser = owner;
  const result = llhttp.llhttp_finish(parser);
  activeParser = undefined;
  return result;
}

export class MessageParser {
  /** Longest accepted head, in bytes of its names, values and target. */
  maxHeadBytes = 65_536;
  private readonly _parser: number;
  private _target = '';
  private _reason = '';
  private _headers: string[] = [];
  /** Whether the last text was a header name; names and values may be reported in parts. */
  private _lastWasName = false;
  private _headBytes = 0;
  private _inMessage = false;
  private _headTooLong = false;
  private _closed = false;

  /** @param _skipsBody called for each head; returns whether the message has no body regardless of its headers: a response to HEAD */
  constructor(
    private readonly _type: keyof typeof kMessageTypes,
    private readonly _events: MessageEvents,
    private readonly _skipsBody: () => boolean = () => false,
  ) {
    this._parser = llhttp.llhttp_alloc(kMessageTypes[_type]);
  }

  /** Whether a message is incomplete. */
  get inMessage(): boolean {
    return this._inMessage;
  }

  /** Parses a chunk; all callbacks are called before it returns. */
  push(bytes: Buffer): ParseFault | undefined {
    let rest = bytes;
    let result = execute(this, this._parser, rest);
    while (result === kPausedUpgrade && this._type === 'request') {
      rest = rest.subarray(llhttp.llhttp_get_error_pos(this._parser) - activeChunkAddress);
      llhttp.llhttp_resume_after_upgrade(this._parser);
      result = execute(this, this._parser, rest);
    }
    return this._faultOf(result);
  }

  /** Signals the end of the connection, which completes a response without a length. */
  finish(): ParseFault | undefined {
    return this._faultOf(finish(this, this._parser));
  }

  /** Frees the library's memory for this parser. */
  close(): void {
    if (!this._closed) {
      this._closed = true;
      llhttp.llhttp_free(this._parser);
    }
  }

  /** @internal Called by the library, as are the next methods. */
  onMessageBegin(): number {
    this._target = '';
    this._reason = '';
    this._headers = [];
    this._lastWasName = false;
    this._headBytes = 0;
    this._inMessage = true;
    return kOk;
  }

  /** @internal */
  onTarget(text: string): number {
    this._target += text;
    return this._countHeadBytes(text);
  }

  /** @internal */
  onReason(text: string): number {
    this._reason += text;
    return this._countHeadBytes(text);
  }

  /** @internal */
  onHeaderName(text: string): number {
    if (this._lastWasName) {
      this._appendToLast(text);
    } else {
      this._headers.push(text);
      this._lastWasName = true;
    }
    return this._countHeadBytes(text);
  }

  /** @internal */
  onHeaderValue(text: string): number {
    if (this._lastWasName) {
      this._headers.push(text);
      this._lastWasName = false;
    } else {
      this._appendToLast(text);
    }
    return this._countHeadBytes(text);
  }

  /** @internal */
  onHeadersComplete(status: number, keepAlive: boolean): number {
    // A header whose value was not reported has an empty value.
    if (this._headers.length % 2 === 1) {
      this._headers.push('');
    }
    this._trimValues();
    const method = this._type === 'request' ? methodName(llhttp.llhttp_get_method(this._parser)) : '';
    if (method === undefined) {
      return kAbort;
    }
    this._events.onHead({ method, target: this._target, status, reason: this._reason, headers: this._headers, keepAlive });
    // Trailers are reported like headers, but are not part of the head.
    this._headers = [];
    return this._skipsBody() ? 1 : kOk;
  }

  /** @internal */
  onBodyPart(part: Buffer): number {
    this._events.onBody(part);
    return kOk;
  }

  /** @internal */
  onMessageComplete(): number {
    this._inMessage = false;
    this._events.onEnd(this._headers);
    return kOk;
  }

  /** Removes white space behind values, which is not part of them (RFC 9110, 5.5). The library removes only that before them. */
  private _trimValues(): void {
    for (let i = 1; i < this._headers.length; i += 2) {
      const value = this._headers[i] ?? '';
      if (value.endsWith(' ') || value.endsWith('\t')) {
        this._headers[i] = value.trimEnd();
      }
    }
  }

  /** Appends the next part of a name or value that was split between chunks. */
  private _appendToLast(text: string): void {
    const part = this._headers.pop() ?? '';
    this._headers.push(part + text);
  }

  private _countHeadBytes(text: string): number {
    this._headBytes += text.length;
    this._headTooLong = this._headBytes > this.maxHeadBytes;
    return this._headTooLong ? kAbort : kOk;
  }

  private _faultOf(result: number): ParseFault | undefined {
    if (this._headTooLong) {
      return 'head_too_long';
    }
    return result === kOk ? undefined : 'malformed';
  }
}
