/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Links to all other daemons: carries calls to them, and spreads records and configurations among them.
 */

import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { type CallResult, monotonicMs, RendezvousRank, type Suspicion, type TargetDirectory, type TargetRecord } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { listenOn } from '../app/addresses.js';
import type { EventLog } from '../app/eventLog.js';
import type { OfferDone, OfferHandle } from '../app/calls/targetGate.js';
import { PeerCalls } from './peerCalls.js';
import { type LinkCallback, PeerDialer } from './peerDialer.js';
import { PeerLink } from './peerLink.js';
import type { PeerCall } from './callCodec.js';
import type { Digests, PeerMessage, WorkspaceMessage } from './peerMessages.js';

/** Hosts up to which a daemon keeps links to all others: they cost next to nothing, and calls find them open. */
const kFullMeshHosts = 17;
/** Links of a larger fleet that are kept without need: over them a version gets around while the zone's readers are cut off. */
const kPersistentLinks = 6;
/** Longest wait for other daemons to end their links to one that stops, in milliseconds, and pause between looks: some round trips. */
const kShutdownMs = 100;
const kShutdownPollMs = 5;

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
  /** Another daemon knows of kinds that targets may have ended by. */
  onSuspects(suspects: Suspicion[]): void;
  /** Kinds that a daemon which was just linked should know of. */
  suspects(): Suspicion[];
  /** Another host answers at the address of this one. */
  onAddressReused(host: string, newHost: string): void;
  /** A link to a host was opened or lost. */
  onReachabilityChange(host: string, reachable: boolean): void;
  /** What this daemon tells first on each link. */
  hello(): Extract<PeerMessage, { type: 'hello' }>;
  /** Whether a link is of use beyond the calls on it. */
  wantsLink(record: TargetRecord): boolean;
  config(): MeshConfig | undefined;
  /** Another daemon asks for, or brings, a proof or a token; answers go back over the link. */
  onWorkspaceMessage(message: WorkspaceMessage, link: PeerLink): void;
}

/** The links of one daemon. */
export class PeerNetwork {
  private readonly _links = new Map<string, PeerLink>();
  private readonly _allLinks = new Set<PeerLink>();
  private readonly _calls: PeerCalls;
  private readonly _dialer: PeerDialer;
  private readonly _server: Server;
  private readonly _rank: RendezvousRank;
  /** Hosts that links are kept to without need, and how many hosts were known when they were chosen. */
  private _persistentHosts = new Set<string>();
  private _rankedSize = 0;
  private _shuttingDown = false;

  constructor(
    private readonly _localHost: string,
    private readonly _directory: TargetDirectory,
    private readonly _events: PeerNetworkEvents,
    private readonly _log: EventLog,
  ) {
    this._rank = new RendezvousRank(_localHost);
    this._calls = new PeerCalls((call, done) => _events.onCall(call, done));
    this._dialer = new PeerDialer({
      onOpen: (host, socket) => this._handleDialed(host, socket),
      onFailed: (host, reason) => this._handleDialFailed(host, reason),
    });
    this._server = createServer((socket) => {
      this._addLink(socket);
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
    return this._calls.offer(
      (callback) => {
        this._withLink(record, callback);
      },
      call,
      done,
    );
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

  /** Tells a daemon, over a link that is opened when there is none. */
  sendOrDial(host: string, message: PeerMessage): void {
    const record = this._directory.get(host);
    if (record) {
      this._withLink(record, (link) => {
        link?.send(message);
      });
    }
  }

  /** Tells all linked daemons which of their calls were taken, and waits until they have ended the links, for a while. */
  async shutDown(): Promise<void> {
    this._shuttingDown = true;
    this._server.close();
    this._calls.announceShutdown(this._allLinks);
    const deadline = monotonicMs() + kShutdownMs;
    while (this._allLinks.size > 0 && monotonicMs() < deadline) {
      await pause(kShutdownPollMs);
    }
  }

  /** Ends all links. */
  close(): void {
    this._server.close();
    this._dialer.close();
    for (const link of this._allLinks) {
      link.close('this daemon stops');
    }
  }

  private _withLink(record: TargetRecord, callback: LinkCallback): void {
    const link = this._links.get(record.host);
    if (link) {
      callback(link);
    } else {
      this._dialer.requestLink(record, callback);
    }
  }

  private _handleDialed(host: string, socket: Socket): PeerLink {
    const link = this._addLink(socket);
    link.host = host;
    this._register(link);
    return link;
  }

  private _handleDialFailed(host: string, reason: string): PeerLink | undefined {
    this._log.notable('peers', `No link to ${host}: ${reason}.`, { peer: host });
    this._events.onReachabilityChange(host, false);
    return this._links.get(host);
  }

  private _addLink(socket: Socket): PeerLink {
    const link = new PeerLink(socket, {
      onMessage: (from, message) => {
        this._handleMessage(from, message);
      },
      onClose: (closed, reason) => {
        this._handleClosed(closed, reason);
      },
      onUnresponsive: ({ host }, unresponsive) => {
        if (host !== '') {
          this._events.onReachabilityChange(host, !unresponsive);
        }
      },
    });
    this._allLinks.add(link);
    link.send(this._events.hello());
    const suspects = this._events.suspects();
    if (suspects.length > 0) {
      link.send({ type: 'suspects', suspects });
    }
    return link;
  }

  private _register(link: PeerLink): void {
    if (!this._links.get(link.host)?.open) {
      this._links.set(link.host, link);
      this._events.onReachabilityChange(link.host, true);
    }
  }

  private _handleMessage(link: PeerLink, message: PeerMessage): void {
    switch (message.type) {
      case 'hello':
        this._handleHello(link, message);
        return;
      case 'call':
        this._calls.accept(link, message.id, message.call);
        return;
      case 'cancel':
        this._calls.cancel(link, message.id);
        return;
      case 'answer':
      case 'not_run':
      case 'lost':
        this._calls.complete(link, message.id, callResultOf(message), message.report);
        return;
      case 'goodbye':
        this._calls.peerShutDown(link, message.taken);
        link.close('the daemon there stopped');
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
        this._handleReading(link, message);
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
      case 'proof_wanted':
      case 'proof':
      case 'token_wanted':
      case 'token':
      case 'tokens_back':
        this._events.onWorkspaceMessage(message, link);
        return;
      case 'suspects':
        this._events.onSuspects(message.suspects);
        return;
      case 'ping':
      case 'pong':
        return;
    }
  }

  private _handleReading(link: PeerLink, { well, version, digests }: Extract<PeerMessage, { type: 'reading' }>): void {
    this._events.onReading(link.host, well);
    this._events.onVersion(version, link);
    this._events.onDigests(digests, link);
  }

  /** A daemon that has started again is told what it said before, as that may still bind its target. */
  private _handleHello(link: PeerLink, { host, record, version, digests }: Extract<PeerMessage, { type: 'hello' }>): void {
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
    this._events.onAddressReused(expected, host);
  }

  private _sendConfig(link: PeerLink): void {
    const config = this._events.config();
    if (config) {
      link.send({ type: 'config', config });
    }
  }

  private _handleClosed(link: PeerLink, reason: string): void {
    this._allLinks.delete(link);
    if (this._links.get(link.host) === link) {
      this._links.delete(link.host);
      this._log.notable('peers', `Lost the link to ${link.host}: ${reason}.`, { peer: link.host, owed: link.pendingCalls });
      this._events.onReachabilityChange(link.host, false);
    }
    this._calls.linkLost(link, `link lost: ${reason}`);
  }

  /** Looks for silent links, and opens those that are wanted; called a few times a second. */
  check(): void {
    for (const link of this._allLinks) {
      link.check();
    }
    if (this._shuttingDown) {
      return;
    }
    this._choosePersistentHosts();
    for (const record of this._directory.values()) {
      const { host, state } = record;
      const wanted = this._persistentHosts.has(host) || this._dialer.failed(host) || this._events.wantsLink(record);
      if (wanted && host !== this._localHost && state !== 'gone' && !this._links.has(host)) {
        this._dialer.dial(record);
      }
    }
  }

  /** Ranked by the own name: if all kept links to the hosts that they knew first, those few would have one to everybody. */
  private _choosePersistentHosts(): void {
    const { size } = this._directory;
    if (size === this._rankedSize) {
      return;
    }
    this._rankedSize = size;
    const hosts = this._rank.order([...this._directory.values()].filter(({ host, state }) => host !== this._localHost && state !== 'gone'));
    const count = size <= kFullMeshHosts ? hosts.length : kPersistentLinks;
    this._persistentHosts = new Set(hosts.slice(0, count).map(({ host }) => host));
  }
}

function callResultOf(message: Extract<PeerMessage, { type: 'answer' | 'not_run' | 'lost' }>): CallResult {
  switch (message.type) {
    case 'answer':
      return { kind: 'answered', answer: message.answer };
    case 'not_run':
      return { kind: 'not_run', reason: message.reason, retryAfterMs: message.retryAfterMs };
    case 'lost':
      return { kind: 'lost', reason: message.reason };
  }
}
