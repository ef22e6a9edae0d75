/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Plays traffic to targets that send a second response to some requests, and counts the callers that get a response not their own. */

import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { seededRandom } from '@gentiandrum/core';
import { Client } from 'undici';
import { RawTarget, type RawRequest, responseText } from '../platform/rawTarget.js';
import { UpstreamStandin } from '../platform/upstreamStandin.js';
import { type HostEndpoints, MeshFleet, type PreparedHost } from './meshFleet.js';

export interface ExtraResponseOptions {
  seed: number;
  ms: number;
  callers: number;
  /** How the second responses are written. */
  extra: 'none' | 'whole' | 'parts' | 'both';
  /** Starts the daemon of a host; in this process by default. */
  start?: (host: PreparedHost) => void;
}

export interface ExtraResponseCounts {
  requests: number;
  /** Responses whose status or body the target did not send in the first response to the request. */
  wrong: string[];
  /** Responses of the target that reached their caller. */
  whole: number;
  /** Responses 502 or 504 of a daemon. */
  lost: number;
  /** Other responses of a daemon, and connections closed without a response. */
  other: number;
  secondResponses: number;
  runs: number;
  connections: number;
}

const kExtraShare = 0.25;
const kMaxWorkMs = 6;
const kMaxDelayMs = 40;
const kMaxPartDelayMs = 30;
const kMaxPadding = 300;
const kRemainingMs = 2_000;
const kPipelined = 4;
const kStatuses = [200, 200, 200, 500, 504];

/** Targets, callers and the record of one play. */
class ExtraResponsePlay {
  readonly counts: ExtraResponseCounts = {
    requests: 0,
    wrong: [],
    whole: 0,
    lost: 0,
    other: 0,
    secondResponses: 0,
    runs: 0,
    connections: 0,
  };
  private readonly _fleet = new MeshFleet();
  private readonly _targets: RawTarget[] = [];
  private readonly _random: () => number;
  /** First responses by request id. */
  private readonly _sent = new Map<string, string[]>();
  /** What is written ahead of the next response on a connection. */
  private readonly _ahead = new WeakMap<Socket, { text: string; rest: string }>();
  private _nextId = 1;

  constructor(private readonly _options: ExtraResponseOptions) {
    this._random = seededRandom(_options.seed);
  }

  async run(): Promise<void> {
    await this._fleet.start();
    try {
      this._fleet.configure([
        { prefix: '/a/', service: 'reads' },
        { prefix: '/once/', service: 'reads', idempotent: false },
        { prefix: '/c/', service: 'chains' },
      ]);
      const hosts: HostEndpoints[] = [];
      for (const [id, service] of ['reads', 'reads', 'reads', 'chains', 'chains'].map((name, i) => [`h${i}`, name] as const)) {
        hosts.push(await this._add(id, service));
      }
      for (const host of hosts) {
        for (const path of ['/a/warm', '/c/warm']) {
          await this._fleet.until(`${path} to be served`, async () => (await this._fleet.call(host, path)).status < 501);
        }
      }
      const end = performance.now() + this._options.ms;
      const { callers } = this._options;
      await Promise.all(Array.from({ length: callers }, (_, i) => this._call(hosts[i % hosts.length]?.calls ?? '', i, end)));
      this.counts.connections = this._targets.reduce((sum, { connections }) => sum + connections, 0);
    } finally {
      this._targets.forEach((target) => {
        target.close();
      });
      await this._fleet.close();
    }
  }

  private async _add(id: string, service: string): Promise<HostEndpoints> {
    const raw = new RawTarget((req) => {
      void this._respond(req, service === 'chains' ? host.calls : undefined);
    });
    await raw.start();
    this._targets.push(raw);
    const target = new UpstreamStandin(`i-${id}`, service);
    target.address = raw.address;
    const prepared = await this._fleet.prepare(id, service, { target });
    const { host } = prepared;
    if (this._options.start) {
      this._options.start(prepared);
    } else {
      await this._fleet.startPrepared(prepared);
    }
    await this._fleet.until(`${id} to listen`, () => target.sendHeartbeat(host.control).then(Boolean, () => false));
    return host;
  }

  private async _respond({ id, connection }: RawRequest, below: string | undefined): Promise<void> {
    this.counts.runs++;
    let status = this._pick(kStatuses);
    if (below === undefined) {
      await pause(this._random() * kMaxWorkMs);
    } else {
      const child = await this._request(new Client(`http://${below}`), `${id}.1`, 'GET', '/a/child', true);
      status = child < 300 ? status : 500;
    }
    const body = `first ${id} ${this._padding()}`;
    this._sent.set(id, [...(this._sent.get(id) ?? []), `${status} ${body}`]);
    const ahead = this._ahead.get(connection);
    this._ahead.delete(connection);
    const text = (ahead?.text ?? '') + responseText(id, status, body, this._order());
    this._write(connection, text + this._extraBehind(id, connection, status));
    this._writeLater(connection, ahead?.rest ?? '', kMaxPartDelayMs);
  }

  /** Decides on a second response; returns the part of it that directly follows the first one. */
  private _extraBehind(id: string, connection: Socket, status: number): string {
    const { extra } = this._options;
    if (extra === 'none' || this._random() > kExtraShare) {
      return '';
    }
    this.counts.secondResponses++;
    const text = responseText(id, status === 200 ? 504 : 200, `second ${id} ${this._padding()}`, this._order());
    const whole = extra === 'whole' || (extra === 'both' && this._random() < 0.5);
    const cut = whole ? text.length : 1 + Math.floor(this._random() * (text.length - 1));
    const [start, rest] = [text.slice(0, cut), text.slice(cut)];
    const place = this._random() * 3;
    if (place < 1) {
      this._writeLater(connection, rest, kMaxPartDelayMs);
      return start;
    }
    if (place < 2) {
      this._writeLater(connection, start, kMaxDelayMs, rest);
    } else {
      this._ahead.set(connection, { text: start, rest });
    }
    return '';
  }

  private _writeLater(connection: Socket, text: string, maxMs: number, rest = ''): void {
    if (text !== '') {
      setTimeout(() => {
        this._write(connection, text);
        this._writeLater(connection, rest, kMaxPartDelayMs);
      }, this._random() * maxMs);
    }
  }

  private _write(connection: Socket, text: string): void {
    if (connection.writable) {
      connection.write(text);
    }
  }

  /** Sends requests until a time: on a new connection each, on a kept one, or several behind one another on a kept one. */
  private async _call(address: string, caller: number, end: number): Promise<void> {
    const habit = (['fresh', 'kept', 'pipelined'] as const)[caller % 3] ?? 'fresh';
    const pipelining = habit === 'pipelined' ? kPipelined : 1;
    let client = new Client(`http://${address}`, { pipelining });
    while (performance.now() < end) {
      if (habit === 'fresh') {
        client = new Client(`http://${address}`);
      }
      const kind = this._pick(['/a/x', '/a/x', '/once/x', '/c/x']);
      const method = kind === '/once/x' ? 'POST' : 'GET';
      const request = (): Promise<number> => this._request(client, `q${this._nextId++}`, method, kind, habit === 'fresh');
      await Promise.all(Array.from({ length: pipelining }, request));
    }
    await client.destroy();
  }

  /** Sends a request, checks its response, and returns the status; 599 without a response. */
  private async _request(client: Client, id: string, method: 'GET' | 'POST', path: string, close: boolean): Promise<number> {
    const { counts } = this;
    counts.requests++;
    const headers = { host: 'app.example', 'x-attempt-id': id, 'x-deadline-remaining': String(kRemainingMs) };
    try {
      const { statusCode, headers: responseHeaders, body } = await client.request({ method, path, headers });
      const text = `${statusCode} ${await body.text()}`;
      if (this._sent.get(id)?.includes(text) === true) {
        counts.whole++;
      } else if (statusCode < 300 || responseHeaders['x-response-seal'] !== undefined) {
        counts.wrong.push(`${id}: got "${text}", sent ${JSON.stringify(this._sent.get(id))}`);
      } else if (statusCode === 502 || statusCode === 504) {
        counts.lost++;
      } else {
        counts.other++;
      }
      return statusCode;
    } catch {
      counts.other++;
      return 599;
    } finally {
      if (close) {
        await client.destroy();
      }
    }
  }

  private _padding(): string {
    return 'x'.repeat(Math.floor(this._random() * kMaxPadding));
  }

  private _order(): number[] {
    return [0, 1, 2, 3]
      .map((i) => [this._random(), i] as const)
      .sort(([a], [b]) => a - b)
      .map(([, i]) => i);
  }

  private _pick<T>(items: readonly [T, ...T[]] | readonly T[]): T {
    return items[Math.floor(this._random() * items.length)] as T;
  }
}

export async function playExtraResponses(options: ExtraResponseOptions): Promise<ExtraResponseCounts> {
  const play = new ExtraResponsePlay(options);
  await play.run();
  return play.counts;
}
