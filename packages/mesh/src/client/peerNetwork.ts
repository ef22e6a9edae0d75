/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Links to the other daemons: forwards calls to them, and distributes records and configurations among them.
 */

import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  type MemoryAccount,
  type MemoryPlace,
  monotonicMs,
  RendezvousRank,
  type Suspicion,
  type TargetDirectory,
  type TargetRecord,
} from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';
import { listenOn } from '../app/addresses.js';
import type { EventLog } from '../app/eventLog.js';
import type { OfferDone, OfferHandle } from '../app/calls/offeredCall.js';
import { PeerCalls } from './peerCalls.js';
import { type LinkCallback, PeerDialer } from './peerDialer.js';
import { PeerLink } from './peerLink.js';
import type { PeerCall } from './callCodec.js';
import type { Digests, PeerMessage, WorkspaceMessage } from './peerMessages.js';

/** Largest number of hosts for which a daemon keeps links to all others. */
const kFullMeshHosts = 17;
/** Number of links that a daemon of a larger fleet keeps open; they spread new versions while the zone's readers are disconnected. */
const kPersistentLinks = 6;
/** Longest wait for the peers to close their links at shutdown, and the polling interval, in milliseconds. */
const kShutdownMs = 100;
const kShutdownPollMs = 5;

/** Callbacks of the daemon that owns the network. */
export interface PeerNetworkEvents {
  /** A call for the target on this host. */
  onCall(call: PeerCall, done: OfferDone): OfferHandle;
  /** A body from a peer was refused for lack of memory. */
  onMemoryRefused(place: MemoryPlace, requestId: string, bytes: number): void;
  onRecords(records: TargetRecord[]): void;
  onErased(hosts: string[]): void;
  /** The platform's log has the local record up to this epoch and revision. */
  onLogged(epoch: number, revision: number): void;
  /** A peer sent its digests. */
  onDigests(digests: Digests, link: PeerLink): void;
  /** A reader reports whether the platform's log responds to it. */
  onReading(host: string, logResponds: boolean): void;
  /** A peer has this configuration version. */
  onVersion(version: number, link: PeerLink): void;
  onConfig(cfg: MeshConfig): void;
  /** A peer sent fingerprints that are suspected of crashing targets. */
  onSuspects(suspects: Suspicion[]): void;
  /** Suspicions to send over a new link. */
  suspects(): Suspicion[];
  /** The daemon at the address of `host` reports `newHost` as its own name. */
  onAddressReused(host: string, newHost: string): void;
  /** A link to a host was opened or lost, or became responsive or unresponsive. */
  onReachabilityChange(host: string, reachable: boolean): void;
  /** Returns the first message on each link. */
  hello(): Extract<PeerMessage, { type: 'hello' }>;
  /** Whether to keep a link to a host regardless of calls. */
  wantsLink(record: TargetRecord): boolean;
  config(): MeshConfig | undefined;
  /** A peer requests or sends a proof or a token; responses are sent over the same link. */
  onWorkspaceMessage(message: WorkspaceMessage, link: PeerLink): void;
}

export class PeerNetwork {
  private readonly _links = new Map<string, PeerLink>();
  private readonly _allLinks = new Set<PeerLink>();
  private readonly _calls: PeerCalls;
  private readonly _dialer: PeerDialer;
  private readonly _server: Server;
  private readonly _rank: RendezvousRank;
  /** Hosts with links that are kept regardless of use, and the number of known hosts when they were chosen. */
  private _persistentHosts = new Set<string>();
  private _rankedSize = 0;
  private _shuttingDown = false;

  constructor(
    private readonly _localHost: string,
    private readonly _directory: TargetDirectory,
    private readonly _events: PeerNetworkEvents,
    private readonly _log: EventLog,
    memory: MemoryAccount,
  ) {
    this._rank = new RendezvousRank(_localHost);
    this._calls = new PeerCalls(
      (call, done) => _events.onCall(call, done),
      memory,
      (place, requestId, bytes) => {
        _events.onMemoryRefused(place, requestId, bytes);
      },
    );
    this._dialer = new PeerDialer({
      onOpen: (host, socket) => this._handleDialed(host, socket),
      onFailed: (host, reason) => this._handleDialFailed(host, reason),
    });
    this._server = createServer((socket) => {
      this._addLink(socket);
    });
  }

  /** Number of hosts with an open link. */
  get reachable(): number {
    return this._links.size;
  }

  /** Number of long answers that were not sent completely. */
  get unsentAnswers(): number {
    return this._calls.unsentAnswers;
  }

  /** Accepts links from other daemons. */
  async listen(address: string): Promise<void> {
    await listenOn(this._server, address);
  }

  offer(record: TargetRecord, call: PeerCall, done: OfferDone): OfferHandle {
    return this._calls.offer(
      (callback) => {
        this._withLink(record, callback);
      },
      call,
      done,
    );
  }

  /** Sends a message to all linked daemons. */
  broadcast(message: PeerMessage): void {
    for (const link of this._links.values()) {
      link.send(message);
    }
  }

  /** Sends a message to the linked daemons of a zone. */
  sendZone(zone: string, message: PeerMessage): void {
    for (const [host, link] of this._links) {
      if (this._directory.get(host)?.zone === zone) {
        link.send(message);
      }
    }
  }

  /** Sends a message to `count` linked daemons at most, chosen at random. */
  sendSome(count: number, message: PeerMessage): void {
    const links = [...this._links.values()];
    const from = Math.floor(Math.random() * links.length);
    for (let i = 0; i < Math.min(count, links.length); i++) {
      links[(from + i) % links.length]?.send(message);
    }
  }

  /** Sends a message to a daemon if it is linked. */
  sendTo(host: string, message: PeerMessage): void {
    this._links.get(host)?.send(message);
  }

  /** Sends a message to a daemon; opens a link if there is none. */
  sendOrDial(host: string, message: PeerMessage): void {
    const record = this._directory.get(host);
    if (record) {
      this._withLink(record, (link) => {
        link?.send(message);
      });
    }
  }

  /** Informs all linked daemons which of their calls were accepted, and waits a limited time until they have closed their links. */
  async shutDown(): Promise<void> {
    this._shuttingDown = true;
    this._server.close();
    this._calls.announceShutdown(this._allLinks);
    const deadline = monotonicMs() + kShutdownMs;
    while (this._allLinks.size > 0 && monotonicMs() < deadline) {
      await pause(kShutdownPollMs);
    }
  }

  close(): void {
    this._server.close();
    this._dialer.close();
    for (const link of this._allLinks) {
      link.close('this daemon is shutting down');
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
    this._log.info('peers', `Failed to connect to ${host}: ${reason}.`, { peer: host });
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
    // Sent even without any, as a starting daemon waits for them.
    link.send({ type: 'suspects', suspects: this._events.suspects() });
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
      case 'cancel':
      case 'answer':
      case 'body_wanted':
      case 'part':
      case 'not_run':
      case 'lost':
        this._calls.receive(link, message);
        return;
      case 'goodbye':
        this._calls.peerShutDown(link, message.taken);
        link.close('the peer shut down');
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

  /** A restarted daemon receives its previous record, because that may still apply to its target. */
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

  /** Sets the peer's host name. It may differ from the expected one, because addresses of removed hosts are reused. */
  private _identify(link: PeerLink, host: string): void {
    const expected = link.host;
    link.host = host;
    if (expected === '' || expected === host) {
      return;
    }
    if (this._links.get(expected) === link) {
      this._links.delete(expected);
    }
    this._log.info('peers', `Host ${host} responds at the address of ${expected}, which is treated as removed.`, {
      peer: host,
      gone: expected,
    });
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
      this._log.info('peers', `Lost the link to ${link.host}: ${reason}.`, { peer: link.host, owed: link.pendingCalls });
      this._events.onReachabilityChange(link.host, false);
    }
    this._calls.linkLost(link, `link lost: ${reason}`);
  }

  /** Checks the links for unresponsive peers, and opens missing links; called a few times a second. */
  check(): void {
    for (const link of this._allLinks) {
      link.check();
    }
    this._calls.check();
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

  /** Each daemon ranks the hosts by its own name, which spreads the links evenly over the fleet. */
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
