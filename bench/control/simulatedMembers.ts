/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Simulated members that load real daemons with the membership traffic of a full-size deployment. */

import type { AddressInfo } from 'node:net';
import { clone, create } from '@bufbuild/protobuf';
import { type ConnectRouter, createClient } from '@connectrpc/connect';
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import { createConnectTransport } from '@connectrpc/connect-node';
import { type Member, MemberSchema, MemberState, PeerService, TargetState } from '@gentiandrum/protocol/peers';
import { fastify } from 'fastify';

const kServices = 26;
const kZones = 7;
const kPingIntervalMs = 1_000;
const kSlots = 100;

/** Members that share one listener: it responds to pings, pings the daemons, and changes member records at a given rate. */
export class SimulatedMembers {
  private readonly _members: Member[] = [];
  private readonly _app = fastify();
  private readonly _timers: NodeJS.Timeout[] = [];
  private _nextIndex = 0;

  constructor(private readonly _size: number) {}

  /** Listens; resolves to the seed address from which daemons fetch all simulated members. */
  async listen(): Promise<string> {
    const routes = (router: ConnectRouter): void => {
      router.service(PeerService, {
        ping: ({ configVersion }) => ({ configVersion, changes: [] }),
        fetchMembers: () => ({ members: this._members }),
      });
    };
    await this._app.register(fastifyConnectPlugin, { routes, acceptCompression: [] });
    await this._app.listen({ host: '127.0.0.1', port: 0 });
    const { port } = this._app.server.address() as AddressInfo;
    for (let i = 0; i < this._size; i++) {
      this._members.push(makeMember(i, `127.0.0.1:${port}`));
    }
    return `127.0.0.1:${port}`;
  }

  /** Pings each daemon at a fixed interval; each ping carries `changes` changed records. */
  startPinging(daemons: string[], changes: number): void {
    for (const address of daemons) {
      const client = createClient(
        PeerService,
        createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '1.1', useBinaryFormat: true }),
      );
      this._timers.push(
        setInterval(() => {
          void client.ping({ from: `crowd${this._nextIndex % this._size}`, changes: this._changeRecords(changes) }).catch(() => undefined);
        }, kPingIntervalMs),
      );
    }
  }

  stopPinging(): void {
    this._timers.splice(0).forEach((timer) => {
      clearInterval(timer);
    });
  }

  /** Stops pinging and listening. */
  async close(): Promise<void> {
    this.stopPinging();
    await this._app.close();
  }

  private _changeRecords(count: number): Member[] {
    return Array.from({ length: count }, () => {
      const index = this._nextIndex++ % this._size;
      const changed = clone(MemberSchema, this._members[index] ?? makeMember(index, ''));
      changed.revision++;
      changed.slots = kSlots + (this._nextIndex % kSlots);
      this._members[index] = changed;
      return changed;
    });
  }
}

function makeMember(i: number, address: string): Member {
  const zone = i % kZones;
  return create(MemberSchema, {
    id: `crowd${i}`,
    incarnation: 1n,
    revision: 1,
    address,
    zone: `zone-${zone}`,
    region: zone < 4 ? 'one' : 'two',
    state: MemberState.ALIVE,
    service: `service-${i % kServices}`,
    target: `crowd${i}-target`,
    targetState: TargetState.SERVING,
    slots: kSlots,
  });
}
