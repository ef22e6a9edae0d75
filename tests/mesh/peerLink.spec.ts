/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { MessageWriter, PeerLink } from '@gentiandrum/mesh';
import { describe, itSerial } from '../support/describe.js';
import { VirtualTime } from '../support/virtualTime.js';

/** How often a daemon checks its links, in milliseconds. */
const kCheckMs = 100;

class NullSocket extends Duplex {
  setNoDelay(): this {
    return this;
  }

  override _read(): void {
    return undefined;
  }

  override _write(_chunk: unknown, _encoding: string, done: () => void): void {
    done();
  }
}

function withLink(
  body: (link: PeerLink, socket: Duplex, checkUntil: (ms: number) => void, events: string[], time: VirtualTime) => void,
): void {
  const time = new VirtualTime();
  const events: string[] = [];
  const socket = new NullSocket();
  const link = new PeerLink(socket as unknown as Socket, {
    onMessage: () => undefined,
    onClose: (_link, reason) => events.push(`closed: ${reason}`),
    onUnresponsive: (_link, unresponsive) => events.push(unresponsive ? 'unresponsive' : 'responsive'),
  });
  let now = 0;
  const checkUntil = (ms: number): void => {
    while (now < ms) {
      now += kCheckMs;
      time.runUntil(now);
      link.check();
    }
  };
  try {
    body(link, socket, checkUntil, events, time);
  } finally {
    time.restore();
    socket.destroy();
  }
}

describe('a link to an unresponsive peer', () => {
  itSerial('should be reported as unresponsive within half a second when a call is pending, and be closed later', (t) => {
    withLink((link, _socket, checkUntil, events) => {
      link.pendingCalls = 1;
      checkUntil(200);
      t.deepEqual(events, []);
      checkUntil(500);
      t.deepEqual(events, ['unresponsive']);
      checkUntil(1_100);
      t.deepEqual(events, ['unresponsive']);
      checkUntil(1_400);
      t.deepEqual(events, ['unresponsive', 'closed: no response to a ping']);
    });
  });

  itSerial('should be reported as responsive when a message is received', (t) => {
    withLink((link, socket, checkUntil, events) => {
      link.pendingCalls = 1;
      checkUntil(500);
      socket.emit('data', new MessageWriter().encode({ type: 'pong' }));
      t.deepEqual(events, ['unresponsive', 'responsive']);
      t.true(link.open);
    });
  });

  itSerial('should be reported as unresponsive within a second, and closed within two, after many answered pings', (t) => {
    withLink((link, socket, checkUntil, events) => {
      link.pendingCalls = 1;
      const kResponsiveMs = 5_000;
      for (let now = 200; now <= kResponsiveMs; now += 200) {
        checkUntil(now);
        socket.emit('data', new MessageWriter().encode({ type: 'pong' }));
      }
      checkUntil(kResponsiveMs + 1_000);
      t.deepEqual(events, ['unresponsive']);
      checkUntil(kResponsiveMs + 2_000);
      t.deepEqual(events, ['unresponsive', 'closed: no response to a ping']);
    });
  });

  itSerial('should be pinged less often while it responds', (t) => {
    withLink((link, socket, checkUntil) => {
      let pings = 0;
      link.send = () => {
        pings++;
      };
      link.pendingCalls = 1;
      for (let now = kCheckMs; now <= 6_000; now += kCheckMs) {
        const before = pings;
        checkUntil(now);
        if (pings > before) {
          socket.emit('data', new MessageWriter().encode({ type: 'pong' }));
        }
      }
      // Without backoff there would be 30 pings.
      t.true(pings >= 7 && pings <= 12, String(pings));
    });
  });

  itSerial('should ignore the time in which this process was stalled', (t) => {
    withLink((link, _socket, checkUntil, events, time) => {
      link.pendingCalls = 1;
      checkUntil(300);
      time.runUntil(5_000);
      link.check();
      t.deepEqual(events, []);
    });
  });

  itSerial('should be pinged at long intervals while no call is pending', (t) => {
    withLink((_link, _socket, checkUntil, events) => {
      checkUntil(2_000);
      t.deepEqual(events, []);
      checkUntil(3_600);
      t.deepEqual(events, ['unresponsive', 'closed: no response to a ping']);
    });
  });
});
