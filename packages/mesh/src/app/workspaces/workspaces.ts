/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What one daemon does for workspaces beyond a single request: its proof of freshness, its parts of quotas, and messages about both. */

import type { MeshConfig, MeshSettings } from '@gentiandrum/protocol';
import type { RoutingTables, SuspensionDetector, TargetDirectory, VersionProof } from '@gentiandrum/core';
import type { PeerLink } from '../../client/peerLink.js';
import type { CallWorkspace } from '../../client/callCodec.js';
import type { PeerMessage, WorkspaceMessage } from '../../client/peerMessages.js';
import type { EventLog } from '../eventLog.js';
import { ProofKeeper } from './proofKeeper.js';
import { QuotaService } from './quotaService.js';

/** What workspaces use of their daemon. */
export interface WorkspacesDeps {
  settings: MeshSettings;
  directory: TargetDirectory;
  /** The configuration in force, ready for look-ups. */
  tables(): RoutingTables | undefined;
  /** What the own reads of the log prove. */
  ownProof(): VersionProof | undefined;
  /** Whether this daemon follows the log, and who else does for its zone. */
  reads(): boolean;
  readers(): readonly string[];
  /** Whether all hosts are known. */
  complete(): boolean;
  sendTo(host: string, message: PeerMessage): void;
  /** The same, over a link that is opened when there is none. */
  sendOrDial(host: string, message: PeerMessage): void;
  /** Sends to some linked daemons, drawn anew each time. */
  sendSome(count: number, message: PeerMessage): void;
  suspensions: SuspensionDetector;
  events: EventLog;
}

/** The workspaces of one daemon. */
export class Workspaces {
  readonly proofs: ProofKeeper;
  readonly quotas: QuotaService;

  constructor(private readonly _deps: WorkspacesDeps) {
    const { settings, directory } = _deps;
    this.proofs = new ProofKeeper({
      ..._deps,
      settings: settings.revocation,
      version: () => _deps.tables()?.version ?? -1,
      needed: () => this.required,
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

  /** Whether requests need keys, but for those on exempt routes. */
  get required(): boolean {
    return this._deps.tables()?.workspaces.required ?? false;
  }

  /** A version came into force. */
  inForce({ version }: MeshConfig): void {
    this.proofs.inForce(version);
  }

  /** Asks for, and gives back, what is due; called a few times a second. */
  check(): void {
    this.proofs.check();
    this.quotas.check();
  }

  /** Ends timers. */
  close(): void {
    this.quotas.close();
  }

  /**
   * Whether a key is still its workspace's: a version that this daemon doesn't know may say so, an older one than its own doesn't count.
   * A call may have waited in a socket while this host was suspended: after that it needs a proof of this daemon's own.
   */
  keyHolds({ name, keyHash, version }: CallWorkspace): boolean {
    if (this.proofs.waking) {
      return false;
    }
    const tables = this._deps.tables();
    return tables === undefined || tables.version <= version || tables.workspaces.hasKey(name, keyHash);
  }

  /** Takes a message of another daemon; answers go back over its link, so that none can be of another life. */
  take(message: WorkspaceMessage, link: PeerLink): void {
    switch (message.type) {
      case 'proof_wanted': {
        const reply = this.proofs.replyTo(message.id);
        if (reply) {
          link.send(reply);
        }
        return;
      }
      case 'proof':
        this.proofs.take(message);
        return;
      case 'token_wanted':
        link.send(this.quotas.answerTo(message.id, message.workspace));
        return;
      case 'token':
        this.quotas.answered(link.host, message.workspace, message.id, message.result);
        return;
      case 'tokens_back':
        this.quotas.takeBack(message.tokens);
        return;
    }
  }
}
