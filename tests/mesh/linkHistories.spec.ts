/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against an answer or a body of one call that reaches another one, when calls are cancelled, bodies refused and links lost. */

import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { bodyParts, type CallResult, kShortBodyBytes, MemoryAccount, type MessageBody, seededRandom } from '@gentiandrum/core';
import { type CallMessage, type PeerCall, PeerCalls, PeerLink, type PeerMessage } from '@gentiandrum/mesh';
import { describe, itSerial } from '../support/describe.js';

const kSeeds = [1, 2, 3];
const kCalls = 400;
const kCallsAtOnce = 12;
const kMaxDelayMs = 6;
const kCancelledShare = 0.25;
const kLostLinkShare = 0.03;
const kLongShare = 0.4;
/** Room for about three of the longest bodies, so that some wait. */
const kMemoryBytes = 1_200_000;
const kMaxBytes = 6 * kShortBodyBytes;
const kCheckMs = 20;
/** Time after which a call counts as one whose result was given to another, in milliseconds. */
const kNoResultMs = 8_000;

const kCall: Omit<PeerCall, 'requestId' | 'body'> = {
  route: 'r',
  service: 's',
  waitMs: 100,
  remainingMs: 300,
  repeat: false,
  inner: false,
  idempotent: true,
  rank: 0,
  instance: 'i',
  callerService: 'c',
  method: 'POST',
  path: '/',
  headers: [],
  suspicion: undefined,
  workspace: undefined,
};
const kReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0, level: 0, inner: undefined, height: 0, chargeMs: 0 };

/** Whether a body consists of the repeated id of its call. */
function isBodyOf(id: string, body: MessageBody): boolean {
  const bytes = Buffer.concat(bodyParts(body));
  return bytes.equals(Buffer.alloc(bytes.length, id)) && bytes.length % id.length === 0 && bytes.length > 0;
}

/** Two daemons with one link at a time, which is replaced when it is lost. */
class LinkHistory {
  readonly mixed: string[] = [];
  readonly outcomes = new Map<string, number>();
  readonly nearMemory = new MemoryAccount(kMemoryBytes);
  readonly farMemory = new MemoryAccount(kMemoryBytes);
  private readonly _near = new PeerCalls(() => ({ cancel: () => undefined }), this.nearMemory);
  private readonly _far = new PeerCalls((call, done) => this._respond(call, done), this.farMemory);
  private readonly _random: () => number;
  private _link: PeerLink | undefined;
  private _dialing: Promise<PeerLink> | undefined;
  private readonly _server = createServer((socket) => {
    this._linkOver(socket, this._far);
  });

  constructor(seed: number) {
    this._random = seededRandom(seed);
  }

  async run(): Promise<void> {
    this._server.listen(0, '127.0.0.1');
    await once(this._server, 'listening');
    const checking = setInterval(() => {
      this._near.check();
      this._far.check();
    }, kCheckMs);
    let next = 0;
    const callAll = async (): Promise<void> => {
      while (next < kCalls && this.mixed.length === 0) {
        await this._call(`<call ${next++}>`);
      }
    };
    await Promise.all(Array.from({ length: kCallsAtOnce }, callAll));
    await pause(kCheckMs + kMaxDelayMs);
    clearInterval(checking);
    this._link?.close('the history ends');
    this._server.close();
    await once(this._server, 'close');
  }

  private async _call(requestId: string): Promise<void> {
    const link = await this._open();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.mixed.push(`${requestId}: no result`);
        resolve();
      }, kNoResultMs);
      const handle = this._near.offer(
        (use) => {
          use(link);
        },
        { ...kCall, requestId, body: this._bodyOf(requestId) },
        (result) => {
          clearTimeout(timer);
          this._check(requestId, result);
          resolve();
        },
      );
      if (this._random() < kCancelledShare) {
        setTimeout(() => {
          handle.cancel();
        }, this._random() * kMaxDelayMs);
      }
      if (this._random() < kLostLinkShare) {
        setTimeout(() => {
          this._link?.close('lost');
        }, this._random() * kMaxDelayMs);
      }
    });
  }

  private _check(requestId: string, result: CallResult): void {
    this.outcomes.set(result.kind, (this.outcomes.get(result.kind) ?? 0) + 1);
    if (result.kind === 'answered') {
      const { headers, body, memory } = result.answer;
      if (headers[1] !== requestId || !isBodyOf(requestId, body)) {
        this.mixed.push(`${requestId}: answer to ${headers[1] ?? ''}`);
      }
      memory?.release();
    }
  }

  private _respond({ requestId, body }: PeerCall, done: (result: CallResult, report: typeof kReport) => void): { cancel: () => void } {
    if (!isBodyOf(requestId, body)) {
      this.mixed.push(`${requestId}: body of another call`);
    }
    // A cancelled call is answered as well, so that its answer arrives late.
    setTimeout(() => {
      done({ kind: 'answered', answer: { status: 200, headers: ['x-call', requestId], body: this._bodyOf(requestId) } }, kReport);
    }, this._random() * kMaxDelayMs);
    return { cancel: () => undefined };
  }

  private _bodyOf(requestId: string): Buffer {
    const bytes = this._random() < kLongShare ? kShortBodyBytes + this._random() * (kMaxBytes - kShortBodyBytes) : 1 + this._random() * 100;
    return Buffer.alloc(Math.ceil(bytes / requestId.length) * requestId.length, requestId);
  }

  private async _open(): Promise<PeerLink> {
    if (this._link?.open) {
      return this._link;
    }
    this._dialing ??= this._dial().finally(() => {
      this._dialing = undefined;
    });
    return this._dialing;
  }

  private async _dial(): Promise<PeerLink> {
    const address = this._server.address();
    const socket = connect(typeof address === 'object' && address ? address.port : 0, '127.0.0.1');
    await once(socket, 'connect');
    this._link = this._linkOver(socket, this._near);
    return this._link;
  }

  private _linkOver(socket: Socket, calls: PeerCalls): PeerLink {
    return new PeerLink(socket, {
      onMessage: (link, message: PeerMessage) => {
        calls.receive(link, message as CallMessage);
      },
      onClose: (link, reason) => {
        calls.linkLost(link, reason);
      },
      onUnresponsive: () => undefined,
    });
  }
}

describe('calls over links that are lost and replaced', () => {
  for (const seed of kSeeds) {
    itSerial(`should get no answer or body of another call, seed ${seed}`, async (t) => {
      const history = new LinkHistory(seed);
      await history.run();
      t.deepEqual(history.mixed, []);
      t.true((history.outcomes.get('answered') ?? 0) > 0 && (history.outcomes.get('lost') ?? 0) > 0);
      t.is(history.nearMemory.heldBytes + history.farMemory.heldBytes, 0);
    });
  }
});
