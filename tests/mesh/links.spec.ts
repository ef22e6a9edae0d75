/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Links to peers that are unresponsive, refuse connections, disconnect, or send malformed messages. */

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

/** Runs `body` with the address of a fake peer daemon. */
async function withFakePeer(onSocket: (socket: Socket) => void, body: (address: string) => Promise<void>): Promise<void> {
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

/** Adds a daemon that knows a ready target on a host whose daemon listens at `peers`. */
async function addHostWithKnownPeer(fleet: MeshFleet, peers: string): Promise<FleetHost> {
  fleet.configure([
    { prefix: '/a/', service: 'reads' },
    { prefix: '/once/', service: 'reads', idempotent: false },
  ]);
  const record = {
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
  fleet.store.put(kTopic, 'ghost', JSON.stringify(record));
  const host = await fleet.add('h1', 'other');
  await fleet.until('the daemon to be ready', async () => (await fleet.readiness(host)) === 200);
  return host;
}

describe('a link to another daemon', () => {
  itSerial('should be closed when the peer is unresponsive, and respond 502 to the call because it may have run', (t) =>
    withFleet((fleet) =>
      withFakePeer(
        () => undefined,
        async (address) => {
          const host = await addHostWithKnownPeer(fleet, address);
          const response = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold', remainingMs: 20_000 });
          t.is(response.status, 502);
          t.regex(response.body, /no response to a ping/);
        },
      ),
    ),
  );

  itSerial('should respond 503 when it cannot be opened, because nothing ran', (t) =>
    withFleet(async (fleet) => {
      const host = await addHostWithKnownPeer(fleet, '127.0.0.1:9');
      const response = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' });
      t.is(response.status, 503);
      t.truthy(response.headers['retry-after']);
    }),
  );

  itSerial('should respond 502 when it is lost with a call in flight, or receives a malformed message', (t) =>
    withFleet((fleet) =>
      withFakePeer(
        (socket) => {
          socket.on('data', () => socket.write(Buffer.alloc(64, 0xff)));
        },
        async (address) => {
          const host = await addHostWithKnownPeer(fleet, address);
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

  /** Guards against a 502 for a call that a daemon did not accept before its shutdown. */
  describe('with a daemon that shuts down', () => {
    const sendGoodbye =
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

    itSerial('should respond 503 to a call that its goodbye does not list as accepted', (t) =>
      withFleet((fleet) =>
        withFakePeer(
          sendGoodbye((id) => id - 1),
          async (address) => {
            const host = await addHostWithKnownPeer(fleet, address);
            const response = await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' });
            t.is(response.status, 503);
            t.truthy(response.headers['retry-after']);
          },
        ),
      ),
    );

    itSerial('should respond 502 to a call that was accepted and has no response', (t) =>
      withFleet((fleet) =>
        withFakePeer(
          sendGoodbye((id) => id),
          async (address) => {
            const host = await addHostWithKnownPeer(fleet, address);
            t.is((await fleet.call(host, '/once/x', { method: 'POST', body: 'hold' })).status, 502);
          },
        ),
      ),
    );

    itSerial('should send the last accepted call id in its last message', (t) =>
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

  itSerial('should report a call as not run that was not yet written when the link was lost', (t) => {
    const results: CallResult[] = [];
    const calls = new PeerCalls(() => ({ cancel: () => undefined }));
    const socket = new Duplex({ read: () => undefined, write: () => undefined });
    const link = new PeerLink(Object.assign(socket, { setNoDelay: () => socket }) as unknown as Socket, {
      onMessage: () => undefined,
      onClose: (closed, reason) => {
        calls.linkLost(closed, reason);
      },
      onUnresponsive: () => undefined,
    });
    calls.offer(
      (use) => {
        use(link);
      },
      kCall,
      (result) => results.push(result),
    );
    socket.emit('close');
    t.deepEqual(results, [{ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }]);
  });

  itSerial('should be used again after a restart of the peer', (t) =>
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

  itSerial('should report a host as removed when another one responds at its address', (t) =>
    withFleet(async (fleet) => {
      const successor = await fleet.add('h2', 'reads');
      const host = await addHostWithKnownPeer(fleet, successor.daemon.record.peers);
      await fleet.until('only the two hosts to be known as ready', async () =>
        /name="hosts_ready"[^}]*} 2\n/.test(await fleet.metrics(host)),
      );
      const hasPlacementAfterRefusal = async (): Promise<boolean> => (await fleet.metrics(host)).includes('after_refusal="true"');
      const before = await hasPlacementAfterRefusal();
      for (let i = 0; i < 5; i++) {
        t.is((await fleet.call(host, '/a/x')).status, 200);
      }
      t.is(await hasPlacementAfterRefusal(), before);
    }),
  );
});
