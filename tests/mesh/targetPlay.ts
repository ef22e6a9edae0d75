/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A client of a target that writes raw text, and the forms that the text of a response may have. */

import { MemoryAccount } from '@gentiandrum/core';
import { type PeerCall, type RunResult, TargetClient } from '@gentiandrum/mesh';
import { platformDialect } from '@gentiandrum/platform';
import { kDate, RawTarget, type RawRequest, responseText } from '../platform/rawTarget.js';

const kRemainingMs = 500;
const kCheckMs = 20;

export const kCall: PeerCall = {
  route: 'r',
  service: 'reads',
  waitMs: 100,
  remainingMs: kRemainingMs,
  repeat: false,
  inner: false,
  idempotent: false,
  rank: undefined,
  instance: 'i-1',
  callerService: 'other',
  workspace: undefined,
  suspicion: undefined,
  requestId: '',
  method: 'POST',
  path: '/a/x',
  headers: [],
  body: Buffer.alloc(0),
};

export interface TargetPlay {
  target: RawTarget;
  /** Kinds of data that the client reported as no response to the request. */
  unsolicited: string[];
  run: (requestId: string, call?: Partial<PeerCall>) => Promise<RunResult['result']>;
  /** Replaces the client by one that knows nothing of the target. */
  renewClient: () => void;
}

/** Runs a test with a client of a target that responds as `respond` does. */
export async function withTarget(
  respond: (req: RawRequest) => void,
  body: (play: TargetPlay) => Promise<void>,
  maxConnections = 10,
): Promise<void> {
  const target = new RawTarget(respond);
  await target.start();
  const unsolicited: string[] = [];
  const ignore = (): undefined => undefined;
  const open = (): TargetClient =>
    new TargetClient(
      target.address,
      'i-1',
      () => maxConnections,
      platformDialect.headers,
      {
        onReachability: ignore,
        onCondition: ignore,
        onLoad: ignore,
        onNoRateLimit: ignore,
        onResponseRefused: ignore,
        onUnsolicited: (kind) => {
          unsolicited.push(kind);
        },
        onCrash: ignore,
      },
      new MemoryAccount(2 ** 26),
    );
  let client = open();
  const checking = setInterval(() => {
    client.check();
  }, kCheckMs);
  try {
    await body({
      target,
      unsolicited,
      run: (requestId, call = {}) =>
        new Promise((resolve) => {
          client.run({ ...kCall, requestId, ...call }, kRemainingMs, ({ result }) => {
            resolve(result);
          });
        }),
      renewClient: () => {
        client.close();
        client = open();
      },
    });
  } finally {
    clearInterval(checking);
    client.close();
    target.close();
  }
}

/** Status, headers and body of a result as text; how it ended if it is no response. */
export function textOf(result: RunResult['result']): string {
  if (result.kind !== 'answered') {
    return result.kind;
  }
  const { status, headers, body } = result.answer;
  return `${status} ${headers.join()} ${Buffer.concat([body].flat()).toString()}`;
}

/** Text of a whole response. */
export function wholeText(id: string, status: number, body: string): string {
  return `${status} X-Response-Seal,seal.${id},Date,${kDate} ${body}`;
}

/** A form of responses. */
export interface ResponseForm {
  name: string;
  method: string;
  status: number;
  /** The body that callers get. */
  body: string;
  text: (id: string) => string;
}

function formOf(name: string, change: (text: string) => string, { method = 'POST', status = 200, body = 'the body' } = {}): ResponseForm {
  return { name, method, status, body, text: (id) => change(responseText(id, status, body)) };
}

const kLength = 'Content-Length: 8';

export const kForms: readonly ResponseForm[] = [
  formOf('with a length', (text) => text),
  formOf('without a reason phrase', (text) => text.replace(' Some Reason', '')),
  formOf('with an empty reason phrase', (text) => text.replace('Some Reason', '')),
  formOf('in chunks', (text) =>
    text
      .replace(kLength, 'Transfer-Encoding: chunked')
      .replace('\r\n\r\nthe body', '\r\n\r\n3\r\nthe\r\n5\r\n body\r\n0\r\nLate: field\r\n\r\n'),
  ),
  formOf('with an interim response', (text) => `HTTP/1.1 103 Early Hints\r\nLink: </style>; rel=preload\r\n\r\n${text}`),
  formOf('without content', (text) => text.replace('Content-Length: 0\r\n', ''), { status: 204, body: '' }),
  formOf('not modified', (text) => text.replace('Content-Length: 0', kLength), { status: 304, body: '' }),
  formOf('to HEAD', (text) => text.replace('Content-Length: 0', kLength), { method: 'HEAD', body: '' }),
];
