/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Encodes, signs and verifies chain tokens. The signature detects forged and truncated tokens. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { kBaggageKey, kChainHeader } from '@gentiandrum/protocol';
import { type ChainToken, ChainTokenSchema } from '@gentiandrum/protocol/peers';

const kSignatureBytes = 12;

export type ChainFields = Omit<ChainToken, '$typeName' | '$unknown'>;
/** Result of reading a chain token; `bad` means forged or truncated. */
export type ChainRead = { kind: 'none' } | { kind: 'bad' } | { kind: 'token'; token: ChainToken };

type Headers = Record<string, string | string[] | undefined>;

/** Signs and verifies chain tokens with a shared secret. */
export class ChainTokens {
  constructor(private readonly _secret: string) {}

  /** Encodes and signs a token. */
  seal(fields: ChainFields): string {
    const bytes = toBinary(ChainTokenSchema, create(ChainTokenSchema, fields));
    return `${Buffer.from(bytes).toString('base64url')}.${this._sign(bytes).toString('base64url')}`;
  }

  /** Reads and verifies the token of a request, from its own header or else from the baggage. */
  read(headers: Headers): ChainRead {
    const text = firstOf(headers[kChainHeader]) ?? fromBaggage(firstOf(headers.baggage));
    return text === undefined ? { kind: 'none' } : this.open(text);
  }

  /** Verifies and decodes a token. */
  open(text: string): ChainRead {
    const [body, signature, ...rest] = text.split('.');
    if (!body || !signature || rest.length > 0) {
      return { kind: 'bad' };
    }
    const bytes = Buffer.from(body, 'base64url');
    const given = Buffer.from(signature, 'base64url');
    if (given.length !== kSignatureBytes || !timingSafeEqual(given, this._sign(bytes))) {
      return { kind: 'bad' };
    }
    return { kind: 'token', token: fromBinary(ChainTokenSchema, bytes) };
  }

  private _sign(bytes: Uint8Array): Buffer {
    return createHmac('sha256', this._secret).update(bytes).digest().subarray(0, kSignatureBytes);
  }
}

/** Adds the token to a `baggage` header value, replacing an existing token. */
export function withBaggage(baggage: string | undefined, token: string): string {
  const others = (baggage ?? '').split(',').filter((entry) => entry.trim() !== '' && !entry.trim().startsWith(`${kBaggageKey}=`));
  return [...others, `${kBaggageKey}=${token}`].join(',');
}

function fromBaggage(baggage: string | undefined): string | undefined {
  const entry = baggage
    ?.split(',')
    .map((part) => part.trim())
    .find((part) => part.startsWith(`${kBaggageKey}=`));
  return entry?.slice(kBaggageKey.length + 1).split(';')[0];
}

function firstOf(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
