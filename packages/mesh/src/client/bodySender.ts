/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Sends long bodies over a link in parts, in turn, and no faster than the peer reads them. */

import type { Socket } from 'node:net';
import { bodyParts, type MessageBody } from '@gentiandrum/core';
import { type BodyOwner, encodePartHeader, kMaxPartBytes } from './bodyFrames.js';

/** Largest number of bytes in the socket's queue up to which parts are added to it. */
const kMaxQueuedBytes = 262_144;

/** Called for each part that was handed to the socket; `last` for the end of the body. */
export type PartSent = (bytes: number, last: boolean) => void;

interface OutgoingBody {
  of: BodyOwner;
  id: number;
  /** What has not been sent. */
  parts: Buffer[];
  onSent: PartSent;
}

export class BodySender {
  /** In the order of their turns. */
  private _queue: OutgoingBody[] = [];

  constructor(private readonly _socket: Socket) {
    _socket.on('drain', () => {
      this.pump();
    });
  }

  add(of: BodyOwner, id: number, body: MessageBody, onSent: PartSent): void {
    this._queue.push({ of, id, parts: [...bodyParts(body)], onSent });
  }

  /** Drops what has not been sent of a body. */
  cancel(of: BodyOwner, id: number): void {
    this._queue = this._queue.filter((body) => body.of !== of || body.id !== id);
  }

  clear(): void {
    this._queue = [];
  }

  /** Sends parts until the socket's queue is full. */
  pump(): void {
    while (this._socket.writableLength < kMaxQueuedBytes) {
      const body = this._queue.shift();
      if (!body) {
        return;
      }
      const { bytes, slices } = takePart(body.parts);
      this._socket.cork();
      this._socket.write(encodePartHeader({ of: body.of, id: body.id, bytes }));
      for (const slice of slices) {
        this._socket.write(slice);
      }
      this._socket.uncork();
      if (body.parts.length > 0) {
        this._queue.push(body);
      }
      body.onSent(bytes, body.parts.length === 0);
    }
  }
}

/** Removes and returns the next part of a body as slices of its buffers. */
function takePart(parts: Buffer[]): { bytes: number; slices: Buffer[] } {
  const slices: Buffer[] = [];
  let bytes = 0;
  for (let first = parts[0]; first && bytes < kMaxPartBytes; first = parts[0]) {
    const slice = first.subarray(0, kMaxPartBytes - bytes);
    slices.push(slice);
    bytes += slice.length;
    if (slice.length < first.length) {
      parts[0] = first.subarray(slice.length);
    } else {
      parts.shift();
    }
  }
  return { bytes, slices };
}
