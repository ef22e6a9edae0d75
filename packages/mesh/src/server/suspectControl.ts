/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What operators ask of suspected kinds of requests: the list, and to let one run again. */

import type { Suspects } from '@gentiandrum/core';
import type { HostResponse, HostRequest } from './hostServer.js';

const kListPath = '/-/suspects';
const kReleasePath = /^\/-\/suspects\/([^/]+)\/release$/;

/** Answers a request of an operator; undefined when it is about something else. */
export function serveSuspects({ method, path }: HostRequest, suspects: Suspects): HostResponse | undefined {
  if (method === 'GET' && path === kListPath) {
    return { status: 200, body: JSON.stringify({ suspects: suspects.list() }) };
  }
  const [, fingerprint] = kReleasePath.exec(path) ?? [];
  if (method !== 'POST' || fingerprint === undefined) {
    return undefined;
  }
  if (!suspects.release(fingerprint)) {
    const detail = `Expected a kind that something is held against, got "${fingerprint}".`;
    return { status: 404, body: JSON.stringify({ kind: 'unknown_suspect', detail }) };
  }
  return { status: 200, body: JSON.stringify({ released: fingerprint }) };
}
