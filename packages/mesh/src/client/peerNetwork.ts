/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Links to all other daemons: carries calls to them, and spreads records and configurations among them.
 */

import { connect, createServer, type Server, type Socket } from 'node:net';
import type { GateReport, CallEnd, TargetDirectory, TargetRecord } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { listenOn, splitAddress } from '../app/addresses.js';
import type { EventLog } from '../app/eventLog.js';
import type { OfferDone, OfferHandle } from '../app/targetGate.js';
import { PeerLink } from './peerLink.js';
import type { Digests, PeerCall, PeerMessage } from './peerMessages.js';

/** Time for a connection to another host, in milliseconds: far above a round trip within a region. */
const kConnectMs = 700;
/** Pause before a lost link is opened again, in milliseconds, at first and at most. */
const kRedialMs = 100;
const kMaxRedialMs = 1_600;
/** Hosts up to which a daemon keeps links to all others: they cost next to nothing, and calls find them open. */
const kWholeFleet = 17;
/** Links of a larger fleet that are kept without need: over them a version gets around while the zone's readers are cut off. */
const kKeptLinks = 6;

/** What the network tells, and asks of, its daemon. */
export interface PeerNetworkEvents {
  /** A call for the target on this host. */
  onCall(call: PeerCall, done: OfferDone): OfferHandle;
  onRecords(records: TargetRecord[]): void;
  onErased(hosts: string[]): void;
  /** The log has the own record up to this one. */
  onLogged(epoch: number, revision: number): void;
  /** Another daemon knows this of each zone. */
  onDigests(digests: Digests, link: PeerLink): void;
  /** A reader reports whether the log answers it. */
  onReading(host: string, well: boolean): void;
  /** Another daemon has this version. */
  onVersion(version: number, link: PeerLink): void;
  onConfig(cfg: MeshConfig): void;
  /** Another host answers at the address of this one. */
  onTakenOver(host: string, by: string): void;
  /** A link to a host was opened or lost. */
  onReach(host: string, reached: boolean): void;
  /** What this daemon tells first on each link. */
  hello(): Extract<PeerMessage, { type: 'hello' }>;
  /** Whether a link is of use beyond the calls on it. */
  wantsLink(record: TargetRecord): boolean;
  config(): MeshConfig | undefined;
}

interface Outgoing {
  link: PeerLink;
  done: OfferDone;
}

interface Dial {
  socket: Socket | undefined;
  notBefore: number;
  pauseMs: number;
  /** Whether the last try failed; such a host is tried again until it answers, as calls avoid it meanwhile. */
  failed: boolean;
  /** Messages that wait for the link. */
  waiting: ((link: PeerLink | undefined) => void)[];
}

const kNoLoad: GateReport = { inFlight: 0, queued: 0, limit: 0, meanMs: 0, level: 0, inner: undefined, height: 0, chargeMs: 0 };

/** The links of one daemon. */
export class PeerNetwork {
  private readonly _links = new Map<string, PeerLink>();
  private readonly _all = new Set<PeerLink>();
  private readonly _dials = new Map<string, Dial>();
  private readonly _outgoing = new Map<number, Outgoing>();
  private readonly _incoming = new Map<PeerLink, Map<number, OfferHandle>>();
  private readonly _server: Server;
  private _nextId = 1;

  constructor(
    private readonly _self: string,
    private readonly _directory: TargetDirectory,
    private readonly _events: PeerNetworkEvents,
    private readonly _log: EventLog,
  ) {
    this._server = createServer((socket) => {
      this._adopt(socket);
    });
  }

  /** Hosts that a link is open to. */
  get reachable(): number {
    return this._links.size;
  }

  /** Takes links of other daemons, and opens some. */
  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  /** Offers a call to the daemon on another host. */
  offer(record: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    const id = this._nextId++;
    const wait = { over: false };
    this._withLink(record, (link) => {
      if (wait.over) {
        return;
      }
      wait.over = true;
      if (!link) {
        done({ kind: 'not_run', reason: 'unreachable', retryAfterMs: 0 }, kNoLoad);
        return;
      }
      link.owed++;
      this._outgoing.set(id, { link, done });
      link.send({ type: 'call', id, call });
    });
    return {
      cancel: () => {
        if (!wait.over) {
          wait.over = true;
          done({ kind: 'not_run', reason: 'cancelled', retryAfterMs: 0 }, kNoLoad);
        }
        this._outgoing.get(id)?.link.send({ type: 'cancel', id });
        this._settle(id);
      },
    };
  }

  /** Tells every linked daemon. */
  broadcast(message: PeerMessage): void {
    for (const link of this._links.values()) {
      link.send(message);
    }
  }

  /** Tells the linked daemons of a zone. */
  sendZone(zone: string, message: PeerMessage): void {
    for (const [host, link] of this._links) {
      if (this._directory.get(host)?.zone === zone) {
        link.send(message);
      }
    }
  }

  /** Tells some linked daemons, drawn anew each time. */
  sendSome(count: number, message: PeerMessage): void {
    const links = [...this._links.values()];
    const from = Math.floor(Math.random() * links.length);
    for (let i = 0; i < Math.min(count, links.length); i++) {
      links[(from + i) % links.length]?.send(message);
    }
  }

  /** Tells a daemon, if it is linked. */
  sendTo(host: string, message: PeerMessage): void {
    this._links.get(host)?.send(message);
  }

  /** Ends all links. */
  close(): void {
    this._server.close();
    for (const dial of this._dials.values()) {
      dial.socket?.destroy();
    }
    for (const link of this._all) {
      link.close('this daemon stops');
    }
  }

  private _withLink(record: TargetRecord, use: (link: PeerLink | undefined) => void): void {
    const link = this._links.get(record.host);
    if (link) {
      use(link);
      return;
    }
    const dial = this._dial(record);
    if (dial.socket) {
      dial.waiting.push(use);
    } else {
      use(undefined);
    }
  }

  /** Begins to open a link, unless that failed a moment ago. */
  private _dial(record: TargetRecord): Dial {
    let dial = this._dials.get(record.host);
    if (!dial) {
      dial = { socket: undefined, notBefore: 0, pauseMs: kRedialMs, failed: false, waiting: [] };
      this._dials.set(record.host, dial);
    }
    if (dial.socket || performance.now() < dial.notBefore) {
      return dial;
    }
    const current = dial;
    const socket = connect(splitAddress(record.peers));
    dial.socket = socket;
    const timer = setTimeout(() => {
      fail(`no connection within ${kConnectMs} ms`);
    }, kConnectMs);
    const fail = (reason: string): void => {
      clearTimeout(timer);
      socket.destroy();
      this._dialFailed(record, current, reason);
    };
    const onError = (err: Error): void => {
      fail(err.message);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      this._dialed(record, current, socket);
    });
    return dial;
  }

  private _dialed(record: TargetRecord, dial: Dial, socket: Socket): void {
    dial.socket = undefined;
    dial.pauseMs = kRedialMs;
    dial.failed = false;
    const link = this._adopt(socket);
    link.host = record.host;
    this._register(link);
    dial.waiting.splice(0).forEach((use) => {
      use(link);
    });
  }

  private _dialFailed(record: TargetRecord, dial: Dial, reason: string): void {
    if (!dial.socket) {
      return;
    }
    dial.socket = undefined;
    dial.failed = true;
    dial.notBefore = performance.now() + dial.pauseMs * (0.75 + Math.random() / 2);
    dial.pauseMs = Math.min(kMaxRedialMs, dial.pauseMs * 2);
    this._log.notable('peers', `No link to ${record.host}: ${reason}.`, { peer: record.host });
    this._events.onReach(record.host, false);
    dial.waiting.splice(0).forEach((use) => {
      use(this._links.get(record.host));
    });
  }

  private _adopt(socket: Socket): PeerLink {
    const link = new PeerLink(socket, {
      onMessage: (from, message) => {
        this._take(from, message);
      },
      onClose: (closed, reason) => {
        this._lost(closed, reason);
      },
      onSilence: ({ host }, silent) => {
        if (host !== '') {
          this._events.onReach(host, !silent);
        }
      },
    });
    this._all.add(link);
    this._incoming.set(link, new Map());
    link.send(this._events.hello());
    return link;
  }

  private _register(link: PeerLink): void {
    if (!this._links.get(link.host)?.open) {
      this._links.set(link.host, link);
      this._events.onReach(link.host, true);
    }
  }

  private _take(link: PeerLink, message: PeerMessage): void {
    switch (message.type) {
      case 'hello':
        this._greet(link, message);
        return;
      case 'call':
        this._takeCall(link, message.id, message.call);
        return;
      case 'cancel':
        this._incoming.get(link)?.get(message.id)?.cancel();
        return;
      case 'answer':
        this._settle(message.id, { kind: 'answered', answer: message.answer }, message.load);
        return;
      case 'not_run':
        this._settle(message.id, { kind: 'not_run', reason: message.reason, retryAfterMs: message.retryAfterMs }, message.load);
        return;
      case 'lost':
        this._settle(message.id, { kind: 'lost', reason: message.reason }, message.load);
        return;
      case 'records':
        this._events.onRecords(message.records);
        return;
      case 'records_wanted':
        link.send({ type: 'records', records: [...this._directory.values()].filter(({ zone }) => message.zones.includes(zone)) });
        return;
      case 'erased':
        this._events.onErased(message.hosts);
        return;
      case 'logged':
        this._events.onLogged(message.epoch, message.revision);
        return;
      case 'reading':
        this._events.onReading(link.host, message.well);
        this._events.onVersion(message.version, link);
        this._events.onDigests(message.digests, link);
        return;
      case 'version':
        this._events.onVersion(message.version, link);
        return;
      case 'config_wanted':
        this._sendConfig(link);
        return;
      case 'config':
        this._events.onConfig(message.config);
        return;
      case 'ping':
      case 'pong':
        return;
    }
  }

  /** A daemon that has started again is told what it said before, as that may still bind its target. */
  private _greet(link: PeerLink, { host, record, version, digests }: Extract<PeerMessage, { type: 'hello' }>): void {
    this._identify(link, host);
    const known = this._directory.get(host);
    if (known && known.epoch !== record.epoch) {
      link.send({ type: 'records', records: [known] });
    }
    this._events.onRecords([record]);
    this._register(link);
    this._events.onVersion(version, link);
    this._events.onDigests(digests, link);
  }

  /** The other end is who it says it is: addresses of hosts that are gone are given to others. */
  private _identify(link: PeerLink, host: string): void {
    const expected = link.host;
    link.host = host;
    if (expected === '' || expected === host) {
      return;
    }
    if (this._links.get(expected) === link) {
      this._links.delete(expected);
    }
    this._log.notable('peers', `${host} answers at the address of ${expected}, which is gone.`, { peer: host, gone: expected });
    this._events.onTakenOver(expected, host);
  }

  private _sendConfig(link: PeerLink): void {
    const config = this._events.config();
    if (config) {
      link.send({ type: 'config', config });
    }
  }

  private _takeCall(link: PeerLink, id: number, call: PeerCall): void {
    const calls = this._incoming.get(link);
    const progress = { ended: false };
    const handle = this._events.onCall(call, (end, load) => {
      progress.ended = true;
      calls?.delete(id);
      link.send(replyOf(id, end, load));
    });
    if (!progress.ended) {
      calls?.set(id, handle);
    }
  }

  private _settle(id: number, end?: CallEnd, load: GateReport = kNoLoad): void {
    const outgoing = this._outgoing.get(id);
    if (!outgoing) {
      return;
    }
    this._outgoing.delete(id);
    outgoing.link.owed--;
    outgoing.done(end ?? { kind: 'lost', reason: 'cancelled' }, load);
  }

  private _lost(link: PeerLink, reason: string): void {
    this._all.delete(link);
    if (this._links.get(link.host) === link) {
      this._links.delete(link.host);
      this._log.notable('peers', `Lost the link to ${link.host}: ${reason}.`, { peer: link.host, owed: link.owed });
      this._events.onReach(link.host, false);
    }
    const handles = this._incoming.get(link);
    this._incoming.delete(link);
    handles?.forEach((handle) => {
      handle.cancel();
    });
    for (const [id, outgoing] of this._outgoing) {
      if (outgoing.link === link) {
        this._settle(id, { kind: 'lost', reason: `link lost: ${reason}` });
      }
    }
  }

  /** Looks for silent links, and opens those that are wanted; called a few times a second. */
  check(): void {
    for (const link of this._all) {
      link.check();
    }
    let kept = this._links.size;
    const keptLinks = this._directory.size <= kWholeFleet ? kWholeFleet : kKeptLinks;
    for (const record of this._directory.values()) {
      const wanted = kept < keptLinks || (this._dials.get(record.host)?.failed ?? false) || this._events.wantsLink(record);
      if (wanted && record.host !== this._self && record.state !== 'gone' && !this._links.has(record.host)) {
        this._dial(record);
        kept++;
      }
    }
  }
}

function replyOf(id: number, end: CallEnd, load: GateReport): PeerMessage {
  switch (end.kind) {
    case 'answered':
      return { type: 'answer', id, answer: end.answer, load };
    case 'not_run':
      return { type: 'not_run', id, reason: end.reason, retryAfterMs: Math.round(end.retryAfterMs), load };
    case 'lost':
      return { type: 'lost', id, reason: end.reason, load };
  }
}
