/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Operator endpoints for suspected request fingerprints: lists them, and releases one. */

import type { Suspects } from '@gentiandrum/core';
import type { HostResponse, HostRequest } from './hostServer.js';

const kListPath = '/-/suspects';
const kReleasePath = /^\/-\/suspects\/([^/]+)\/release$/;

/** Serves a request to these endpoints; returns undefined for any other request. */
export function serveSuspects({ method, path }: HostRequest, suspects: Suspects): HostResponse | undefined {
  if (method === 'GET' && path === kListPath) {
    return { status: 200, body: JSON.stringify({ suspects: suspects.list() }) };
  }
  const [, fingerprint] = kReleasePath.exec(path) ?? [];
  if (method !== 'POST' || fingerprint === undefined) {
    return undefined;
  }
  if (!suspects.release(fingerprint)) {
    const detail = `Expected the fingerprint of a suspect that is not released, got "${fingerprint}".`;
    return { status: 404, body: JSON.stringify({ kind: 'unknown_suspect', detail }) };
  }
  return { status: 200, body: JSON.stringify({ released: fingerprint }) };
}
