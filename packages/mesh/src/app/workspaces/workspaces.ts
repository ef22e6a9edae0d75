/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Workspace state of one daemon: its freshness proof, its quota shares, and the messages about both. */

import type { MeshConfig, MeshSettings } from '@gentiandrum/protocol';
import type { RoutingTables, SuspensionDetector, TargetDirectory, VersionProof } from '@gentiandrum/core';
import type { PeerLink } from '../../client/peerLink.js';
import type { CallWorkspace } from '../../client/callCodec.js';
import type { PeerMessage, WorkspaceMessage } from '../../client/peerMessages.js';
import type { EventLog } from '../eventLog.js';
import { ProofTracker } from './proofTracker.js';
import { QuotaService } from './quotaService.js';

/** Daemon services that workspaces depend on. */
export interface WorkspacesDeps {
  settings: MeshSettings;
  directory: TargetDirectory;
  /** Look-up tables of the configuration in force. */
  tables(): RoutingTables | undefined;
  /** Proof from this daemon's own reads of the log. */
  ownProof(): VersionProof | undefined;
  /** Whether this daemon follows the log for its zone. */
  readsLog(): boolean;
  /** Other daemons that follow the log for this zone. */
  readers(): readonly string[];
  /** Whether all hosts are known. */
  allHostsKnown(): boolean;
  sendTo(host: string, message: PeerMessage): void;
  /** Sends to a host; opens a link if there is none. */
  sendOrDial(host: string, message: PeerMessage): void;
  /** Sends to `count` linked daemons, chosen at random for each message. */
  sendSome(count: number, message: PeerMessage): void;
  suspensions: SuspensionDetector;
  events: EventLog;
}

/** Keys and quotas of one daemon. */
export class Workspaces {
  readonly proofs: ProofTracker;
  readonly quotas: QuotaService;

  constructor(private readonly _deps: WorkspacesDeps) {
    const { settings, directory } = _deps;
    this.proofs = new ProofTracker({
      ..._deps,
      settings: settings.revocation,
      version: () => _deps.tables()?.version ?? -1,
      keysRequired: () => this.required,
    });
    this.quotas = new QuotaService({
      ..._deps,
      members: {
        get revision() {
          return directory.membersRevision;
        },
        hosts: () => directory.all().filter(({ state }) => state !== 'gone'),
      },
      sendTo: (host, message) => {
        _deps.sendOrDial(host, message);
      },
    });
  }

  /** Whether requests need keys, except on exempt routes. */
  get required(): boolean {
    return this._deps.tables()?.workspaces.required ?? false;
  }

  /** Records that a configuration came into force. */
  configApplied({ version }: MeshConfig): void {
    this.proofs.configApplied(version);
  }

  /** Requests a proof if needed, and returns unused tokens; called several times per second. */
  check(): void {
    this.proofs.check();
    this.quotas.check();
  }

  /** Stops timers. */
  close(): void {
    this.quotas.close();
  }

  /**
   * Whether a key still belongs to its workspace. A call with a version that is not older than the local one is trusted; otherwise the
   * local configuration decides. After a suspension no key is valid until this daemon has a new proof, because the call may have waited
   * in a socket meanwhile.
   */
  isKeyValid({ name, keyHash, version }: CallWorkspace): boolean {
    if (this.proofs.awaitsProof) {
      return false;
    }
    const tables = this._deps.tables();
    return tables === undefined || tables.version <= version || tables.workspaces.hasKey(name, keyHash);
  }

  /** Handles a message of another daemon. Responses use the same link, so they never reach a restarted daemon. */
  receive(message: WorkspaceMessage, link: PeerLink): void {
    switch (message.type) {
      case 'proof_wanted': {
        const reply = this.proofs.replyTo(message.id);
        if (reply) {
          link.send(reply);
        }
        return;
      }
      case 'proof':
        this.proofs.receive(message);
        return;
      case 'token_wanted':
        link.send(this.quotas.replyTo(message.id, message.workspace));
        return;
      case 'token':
        this.quotas.receiveGrant(link.host, message.workspace, message.id, message.result);
        return;
      case 'tokens_back':
        this.quotas.acceptReturned(message.tokens, message.ageMs);
        return;
    }
  }
}
