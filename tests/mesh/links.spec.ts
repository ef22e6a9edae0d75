/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Links to other daemons that are silent, refuse, break, or talk nonsense. */

import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { CallResult } from '@gentiandrum/core';
import { MessageReader, MessageWriter, type PeerCall, PeerCalls, PeerLink, type PeerMessage } from '@gentiandrum/mesh';
import { describe, itSerial } from '../support/describe.js';
import { type FleetHost, type MeshFleet, withFleet } from './meshFleet.js';

const kCall: PeerCall = {
  route: 'r',
  service: 's',
  waitMs: 1,
  remainingMs: 1,
  repeat: false,
  inner: false,
  idempotent: false,
  rank: 0,
  instance: 'i',
  callerService: 'c',
  requestId: 'q',
  method: 'POST',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  suspicion: undefined,
  workspace: undefined,
};
const kTopic = 'keyed.gentiandrum-hosts';

/** Something that listens where another daemon should. */
async function withStranger(onSocket: (socket: Socket) => void, body: (address: string) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => sockets.delete(socket));
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  try {
    await body(`127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`);
  } finally {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  }
}

/** A daemon that believes in a target on a host which is reached at `peers`. */
async function believer(fleet: MeshFleet, peers: string): Promise<FleetHost> {
  fleet.configure([
    { prefix: '/a/', service: 'reads' },
    { prefix: '/once/', service: 'reads', idempotent: false },
  ]);
  const ghost = {
    host: 'ghost',
    zone: 'z1',
    peers,
    service: 'reads',
    instance: 'i-ghost',
    state: 'ready',
    slots: 5,
    epoch: 1,
    revision: 1,
  };
  fleet.store.put(kTopic, 'ghost', JSON.stringify(ghost));
  const host = await fleet.add('h1', 'other');
  await fleet.until('the daemon to be ready', async () => (await fleet.readiness(host)) === 200);
  return host;
}

describe('a link to another daemon', () => {
  itSerial('should be given up when it stays silent, and the call answered 502: it may have run', (t) =>
    withFleet((fleet) =>
      withStranger(
        () => undefined,
        async (address) => {
          const host = await believer(fleet, address);
          const answer = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold', remainingMs: 20_000 });
          t.is(answer.status, 502);
          t.regex(answer.body, /no sign of life/);
        },
      ),
    ),
  );

  itSerial('should answer 503 when it can not be opened: nothing ran', (t) =>
    withFleet(async (fleet) => {
      const host = await believer(fleet, '127.0.0.1:9');
      const answer = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' });
      t.is(answer.status, 503);
      t.truthy(answer.headers['retry-after']);
    }),
  );

  itSerial('should answer 502 when it breaks with a call on it, or brings bytes that are no message', (t) =>
    withFleet((fleet) =>
      withStranger(
        (socket) => {
          socket.on('data', () => socket.write(Buffer.alloc(64, 0xff)));
        },
        async (address) => {
          const host = await believer(fleet, address);
          const statuses = [];
          for (let i = 0; i < 3; i++) {
            statuses.push((await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' })).status);
          }
          t.true(statuses.every((status) => status === 502 || status === 503));
          t.is(await fleet.readiness(host), 200);
        },
      ),
    ),
  );

  /**
   * A daemon that stops as planned ends its links. A sender that had no processor time meanwhile, or was far away, has calls on them
   * that nobody read; without a word on them each counted as "may have run", and its caller got 502 for a call that was never taken.
   */
  describe('with a daemon that stops', () => {
    const answerWith =
      (taken: (id: number) => number) =>
      (socket: Socket): void => {
        const reader = new MessageReader();
        const writer = new MessageWriter();
        socket.on('data', (chunk: Buffer) => {
          for (const message of reader.push(chunk)) {
            if (message.type === 'call') {
              socket.end(writer.encode({ type: 'goodbye', taken: taken(message.id) }));
            }
          }
        });
      };

    itSerial('should answer 503 to a call that its last message does not count as taken', (t) =>
      withFleet((fleet) =>
        withStranger(
          answerWith((id) => id - 1),
          async (address) => {
            const host = await believer(fleet, address);
            const answer = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' });
            t.is(answer.status, 503);
            t.truthy(answer.headers['retry-after']);
          },
        ),
      ),
    );

    itSerial('should answer 502 to a call that was taken and has no answer', (t) =>
      withFleet((fleet) =>
        withStranger(
          answerWith((id) => id),
          async (address) => {
            const host = await believer(fleet, address);
            t.is((await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' })).status, 502);
          },
        ),
      ),
    );

    itSerial('should bring the count of calls that were taken as its last message', (t) =>
      withFleet(async (fleet) => {
        fleet.configure([{ prefix: '/a/', service: 'reads' }]);
        const near = await fleet.add('h1', 'other');
        const far = await fleet.add('h2', 'reads');
        await fleet.untilServing('/a/warm');
        const [host = '', port = ''] = far.daemon.record.peers.split(':');
        const socket = connect(Number(port), host);
        const messages: PeerMessage[] = [];
        const reader = new MessageReader();
        socket.on('data', (chunk: Buffer) => messages.push(...reader.push(chunk)));
        const ended = once(socket, 'close');
        await far.daemon.stop();
        far.daemon.close();
        await ended;
        t.deepEqual(messages.at(-1), { type: 'goodbye', taken: 0 });
        t.is(near.daemon.reachable, 0);
      }),
    );
  });

  itSerial('should tell that a call was not run which was not yet written when the link ended', (t) => {
    const ends: CallResult[] = [];
    const calls = new PeerCalls(() => ({ cancel: () => undefined }));
    const socket = new Duplex({ read: () => undefined, write: () => undefined });
    const link = new PeerLink(Object.assign(socket, { setNoDelay: () => socket }) as unknown as Socket, {
      onMessage: () => undefined,
      onClose: (closed, reason) => {
        calls.lost(closed, reason);
      },
      onSilence: () => undefined,
    });
    calls.offer(
      (use) => {
        use(link);
      },
      kCall,
      (end) => ends.push(end),
    );
    socket.emit('close');
    t.deepEqual(ends, [{ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }]);
  });

  itSerial('should lead to the target again once its daemon is back', (t) =>
    withFleet(async (fleet) => {
      fleet.configure([{ prefix: '/a/', service: 'reads' }]);
      const near = await fleet.add('h1', 'other');
      const far = await fleet.add('h2', 'reads');
      await fleet.untilServing('/a/warm');
      fleet.kill(far);
      t.not((await fleet.call(near, '/a/x')).status, 200);
      await fleet.add('h2', 'reads', { target: far.target });
      await fleet.until('the target to be used again', async () => (await fleet.call(near, '/a/x')).status === 200);
    }),
  );

  itSerial('should tell that a host is gone when another one answers at its address', (t) =>
    withFleet(async (fleet) => {
      const heir = await fleet.add('h2', 'reads');
      const host = await believer(fleet, heir.daemon.record.peers);
      await fleet.until('only the two hosts to be known as ready', async () =>
        /name="hosts_ready"[^}]*} 2\n/.test(await fleet.metrics(host)),
      );
      const placed = async (): Promise<boolean> => (await fleet.metrics(host)).includes('after_refusal="true"');
      const before = await placed();
      for (let i = 0; i < 5; i++) {
        t.is((await fleet.call(host, '/a/x')).status, 200);
      }
      t.is(await placed(), before);
    }),
  );
});
