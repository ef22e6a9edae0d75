/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import type { ServerResponse } from 'node:http';

/** Sends up to `bytes` bytes without ending the response, as fast as they are read. */
export function sendEndlessly(res: ServerResponse, bytes: number): void {
  const chunk = Buffer.alloc(65_536, 'e');
  let left = bytes;
  const send = (): void => {
    while (left > 0 && !res.destroyed) {
      left -= chunk.length;
      if (!res.write(chunk)) {
        res.once('drain', send);
        return;
      }
    }
  };
  send();
}
