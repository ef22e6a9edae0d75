/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Bodies on a link between daemons. A short body is a field of its message. For a long one the message has the length only; the receiver asks
 * for the body once it has memory for it, and gets it in frames between the messages of other calls.
 */

import { bodyBytes, kShortBodyBytes, type MessageBody } from '@gentiandrum/core';

/** Message to which a body belongs; ids of calls are assigned by their sender, so each direction has its own. */
export type BodyOwner = 'call' | 'answer';

/** Header of a frame with a part of a body. */
export interface PartHeader {
  of: BodyOwner;
  id: number;
  /** Length of the part, in bytes. */
  bytes: number;
}

/** Set in the length of frames that hold a part of a body. */
const kPartFlag = 0x8000_0000;
const kLengthBytes = 4;
const kOwnerBytes = 1;
const kIdBytes = 6;
/** Length of a part header, in bytes. */
export const kPartHeaderBytes = kLengthBytes + kOwnerBytes + kIdBytes;
/** Longest part in one frame, in bytes: bounds the time for which other messages of the link wait. */
export const kMaxPartBytes = 131_072;

const kOwners = ['call', 'answer'] as const satisfies BodyOwner[];

/** Returns the field of a message for a body: the body itself if it is short, otherwise its length. */
export function encodeBody(body: MessageBody): Buffer | number {
  const bytes = bodyBytes(body);
  if (bytes > kShortBodyBytes) {
    return bytes;
  }
  return Buffer.isBuffer(body) ? body : Buffer.concat(body);
}

/** Whether the body of a message follows in parts. */
export function isLongBody(body: MessageBody): boolean {
  return bodyBytes(body) > kShortBodyBytes;
}

/** Decodes the field of a message: a short body, or the length of a long one. */
export function parseBody(field: unknown): { body: Buffer; longBody?: number } {
  return typeof field === 'number' ? { body: Buffer.alloc(0), longBody: field } : { body: field as Buffer };
}

/** Encodes the header of a frame with a part. */
export function encodePartHeader({ of, id, bytes }: PartHeader): Buffer {
  const header = Buffer.allocUnsafe(kPartHeaderBytes);
  header.writeUInt32BE((kPartFlag | (kOwnerBytes + kIdBytes + bytes)) >>> 0, 0);
  header.writeUInt8(kOwners.indexOf(of), kLengthBytes);
  header.writeUIntBE(id, kLengthBytes + kOwnerBytes, kIdBytes);
  return header;
}

/** Whether a frame with this length field holds a part. */
export function isPart(lengthField: number): boolean {
  return lengthField >= kPartFlag;
}

/** Decodes the header of a frame with a part; throws if it is malformed. */
export function parsePartHeader(bytes: Buffer): PartHeader {
  const length = bytes.readUInt32BE(0) - kPartFlag - kOwnerBytes - kIdBytes;
  const of = kOwners[bytes.readUInt8(kLengthBytes)];
  if (of === undefined || length < 0 || length > kMaxPartBytes) {
    throw new Error(`expected a part of at most ${kMaxPartBytes} bytes of a call or an answer, got one of ${length}`);
  }
  return { of, id: bytes.readUIntBE(kLengthBytes + kOwnerBytes, kIdBytes), bytes: length };
}
