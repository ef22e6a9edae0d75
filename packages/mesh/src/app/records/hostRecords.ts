/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Maintains the known records of all hosts, and publishes the record of this host. */

import {
  type ChainModel,
  isContradiction,
  isSameIncarnation,
  type LearnedChains,
  type Placement,
  type Suspects,
  type Suspicion,
  type TargetDirectory,
  type TargetRecord,
} from '@gentiandrum/core';
import type { MeshSettings } from '@gentiandrum/protocol';
import type { RecordChange, RecordLog } from '../../ports.js';
import type { EventLog } from '../eventLog.js';
import type { LogFollower } from '../log/logFollower.js';
import type { TargetGate } from '../calls/targetGate.js';

/** Maximum time at a start to recover the last known state of this host's target, in milliseconds. */
const kRecoveryTimeoutMs = 3_000;
/**
 * Maximum time to wait for the suspects that another daemon knows, in milliseconds, once the state of this host is known from the log. The
 * log has only some quarantined fingerprints; without the others a daemon that just started would run a request that crashes its target.
 */
const kPeerWaitMs = 500;
/** Relative change of a call ratio above which it is published again. */
const kMinRatioChange = 0.3;

/** Daemon services that the records depend on. */
export interface HostRecordsDeps {
  settings: MeshSettings;
  gate: () => TargetGate;
  directory: TargetDirectory;
  placement: Placement;
  chains: ChainModel;
  suspects: Suspects;
  log: RecordLog;
  follower: () => LogFollower;
  /** Called after a full read of the records in the log. */
  onFullRead(): void;
  /** Called once the state of this host has been recovered from the log or another daemon. */
  onRecovered(): void;
  /** Sends a record to all linked daemons. */
  broadcast(record: TargetRecord): void;
  events: EventLog;
}

/** Where the last known state of this host was found. */
type RecoverySource = 'the log' | 'another daemon';

/** Records of one daemon. */
export class HostRecords {
  private readonly _startedAt = Date.now();
  private _epoch = this._startedAt;
  private _revision = 0;
  private _recovered = false;
  /** Start of this host's previous daemon, on the wall clock; undefined when none is known. */
  private _predecessorAt: number | undefined;
  private _learned: LearnedChains | undefined;
  private _suspects: Suspicion[] = [];
  private _published: Promise<boolean> = Promise.resolve(true);
  private _recoveryTimer: NodeJS.Timeout | undefined;
  private _recoverySource: RecoverySource | undefined;
  private _suspectsReceived = false;

  constructor(private readonly _deps: HostRecordsDeps) {}

  /** Whether the recovery of the last known state of this host's target has finished or timed out. */
  get recovered(): boolean {
    return this._recovered;
  }

  /** Resolves once the latest publication of this host's record to the log has completed; true when the record is durable. */
  get published(): Promise<boolean> {
    return this._published;
  }

  /** Record of this host. */
  get own(): TargetRecord {
    const { id, zone, listen, target } = this._deps.settings;
    const { service, ...advertised } = this._deps.gate().advertisedState;
    return {
      host: id,
      zone,
      peers: listen.peers,
      service: service === '' ? target.service : service,
      ...advertised,
      ...(this._learned ? { learned: this._learned } : {}),
      ...(this._suspects.length > 0 ? { suspects: this._suspects } : {}),
      epoch: this._epoch,
      revision: this._revision,
    };
  }

  /** Subscribes to the records of the log, and starts the recovery timer. */
  start(): void {
    this._deps.directory.merge(this.own);
    this._deps.log.onChanges((changes, complete) => {
      this._applyChanges(changes, complete);
    });
    this._startRecoveryTimer(kRecoveryTimeoutMs);
  }

  /** Stops the recovery timer. */
  stop(): void {
    clearTimeout(this._recoveryTimer);
  }

  /** Publishes a new revision of this host's record to linked daemons, and to the log if the target is draining or gone. */
  updateOwn(): void {
    this._revision++;
    const record = this.own;
    this._updatePlacement(this._deps.directory.get(record.host), record);
    this._deps.directory.merge(record);
    this._deps.broadcast(record);
    // Other daemons have to see a draining target after this daemon has stopped too, so that state is written at once; a reader of the
    // zone writes all others.
    if (record.state === 'draining' || record.state === 'gone') {
      this._published = this._publish(record);
    }
  }

  private async _publish(record: TargetRecord): Promise<boolean> {
    const durable = await this._deps.log.publish(record);
    if (durable) {
      this._deps.follower().ownRecordLogged(record.epoch, record.revision);
    }
    return durable;
  }

  /** Publishes the call ratios and internal routes learned on this host if they differ from the record; called periodically. */
  updateLearned(): void {
    const learned = this._deps.chains.learned();
    if (this.own.state === 'ready' && differs(learned, this._learned)) {
      this._learned = learned;
      this.updateOwn();
    }
  }

  /** Publishes the quarantined request fingerprints that crashed this host's target if they differ from the record. */
  updateSuspects(): void {
    const { persisted } = this._deps.suspects;
    const same = persisted.length === this._suspects.length && persisted.every((suspicion, i) => suspicion === this._suspects[i]);
    if (!same) {
      this._suspects = persisted;
      this.updateOwn();
    }
  }

  /** Applies records from another daemon. */
  receive(records: TargetRecord[]): void {
    for (const record of records) {
      if (record.host === this._deps.settings.id) {
        this._applyOwn(record);
        this._recordRecovery('another daemon');
      } else {
        this._applyOther(record);
      }
    }
  }

  /** Another daemon sent the suspects that it knows. */
  suspectsReceived(): void {
    this._suspectsReceived = true;
    if (this._recoverySource) {
      this._finishRecovery();
    }
  }

  /** Removes hosts whose records were removed from the log. */
  remove(hosts: readonly string[]): void {
    for (const host of hosts) {
      this._deps.follower().recordErased(host, false);
      this._removeOther(host);
    }
  }

  private _removeOther(host: string): void {
    if (host !== this._deps.settings.id) {
      this._deps.directory.remove(host);
    }
  }

  private _applyChanges(changes: RecordChange[], complete: boolean): void {
    if (complete) {
      this._deps.follower().beginFullRead();
    }
    for (const change of changes) {
      this._applyChange(change);
    }
    if (complete) {
      this._deps.onFullRead();
      this._recordRecovery('the log');
    }
  }

  private _applyChange(change: RecordChange): void {
    const { settings, follower } = this._deps;
    switch (change.kind) {
      case 'record':
        this._recordLogged(change.record);
        if (change.record.host === settings.id) {
          this._applyOwn(change.record);
        } else {
          this._applyOther(change.record);
        }
        return;
      case 'erased':
        follower().recordErased(change.host, true);
        this._removeOther(change.host);
        return;
      case 'invalid':
        follower().recordErased(change.host, false);
    }
  }

  /** Marks a record as present in the log, unless another writer put it in place of the one of that version, which has to be written again. */
  private _recordLogged(record: TargetRecord): void {
    const { directory, follower } = this._deps;
    const known = directory.get(record.host);
    if (known && isContradiction(known, record)) {
      follower().recordErased(record.host, false);
    } else {
      follower().recordLogged(record);
    }
  }

  private _applyOther(record: TargetRecord): void {
    const { directory, events, suspects } = this._deps;
    this._applyLearned(record);
    if (record.suspects) {
      suspects.mergeFromPeer(record.suspects);
    }
    const before = directory.get(record.host);
    if (!directory.merge(record)) {
      return;
    }
    this._deps.follower().recordUpdated(record);
    this._updatePlacement(before, record);
    const replaced = before === undefined || !isSameIncarnation(before, record);
    // The first record of a host is not a change, and is not logged.
    if (before && (replaced || before.state !== record.state)) {
      const { host, state, instance, service } = record;
      events.info('peers', `The target on ${host} is ${state}.`, { peer: host, state, instance, service });
    }
  }

  /** Resets the routing statistics of a host when its target is replaced, and its penalty when its target is ready again. */
  private _updatePlacement(before: TargetRecord | undefined, record: TargetRecord): void {
    const { placement } = this._deps;
    if (before && !isSameIncarnation(before, record)) {
      placement.resetHost(record.host);
    } else if (record.state === 'ready' && before?.state !== 'ready') {
      placement.markReachable(record.host);
    }
  }

  /** Restores the state that an earlier daemon of this host published, and raises the epoch above that of its record. */
  private _applyOwn(record: TargetRecord): void {
    if (record.epoch === this._epoch) {
      this._replaceForeign(record);
      return;
    }
    this._predecessorAt = Math.max(this._predecessorAt ?? 0, record.epoch);
    this._deps.gate().restore(record);
    this._applyLearned(record);
    this._deps.suspects.restore(record.suspects ?? []);
    if (record.epoch > this._epoch) {
      this._raiseEpoch(record);
    }
  }

  /** A revision of this epoch that this daemon has not published is by another writer, and would displace its next ones. */
  private _replaceForeign(record: TargetRecord): void {
    if (record.revision > this._revision) {
      this._deps.events.warn('log', 'Replacing a record of this host that another writer wrote.', {
        got: record.revision,
        own: this._revision,
      });
      this._raiseEpoch(record);
    }
  }

  private _raiseEpoch({ epoch }: TargetRecord): void {
    this._epoch = epoch + 1;
    this.updateOwn();
  }

  /** Adopts what other hosts of the same service learned about its routes, until this daemon has learned call ratios itself. */
  private _applyLearned({ learned, host, service }: TargetRecord): void {
    const { chains, settings } = this._deps;
    if (!learned) {
      return;
    }
    chains.mergeInternalRoutes(learned.inner);
    if (this._learned || service !== settings.target.service) {
      return;
    }
    chains.restore(learned);
    if (host === settings.id) {
      this._learned = learned;
    }
  }

  /** Time between the start of the previous daemon and this one's, in milliseconds; infinite without one, negative after a clock step. */
  get sincePredecessorMs(): number {
    return this._predecessorAt === undefined ? Infinity : this._startedAt - this._predecessorAt;
  }

  private _recordRecovery(source: RecoverySource): void {
    if (this._recovered || this._recoverySource) {
      return;
    }
    this._recoverySource = source;
    const isAlone = this._deps.directory.all().every(({ host }) => host === this._deps.settings.id);
    if (this._suspectsReceived || isAlone) {
      this._finishRecovery();
    } else {
      this._startRecoveryTimer(kPeerWaitMs);
    }
  }

  private _startRecoveryTimer(ms: number): void {
    clearTimeout(this._recoveryTimer);
    this._recoveryTimer = setTimeout(() => {
      this._finishRecovery();
    }, ms);
  }

  private _finishRecovery(): void {
    if (this._recovered) {
      return;
    }
    this._recovered = true;
    clearTimeout(this._recoveryTimer);
    const { directory, events } = this._deps;
    events.info('start', `Finished the recovery of this host's state (source: ${this._recoverySource ?? 'none'}).`, {
      hosts: directory.all().length,
      suspectsReceived: this._suspectsReceived,
    });
    this._deps.gate().endRecovery();
    if (this._recoverySource) {
      this._deps.onRecovered();
    }
  }
}

/** Whether learned call ratios or internal routes differ; routes missing in `newer` have only not been seen yet. */
function differs(newer: LearnedChains, older: LearnedChains | undefined): boolean {
  const calls = Object.entries(newer.calls).some(([route, ratios]) => {
    const known = older?.calls[route];
    const names = Object.keys({ ...ratios, ...known });
    return (
      known === undefined || names.some((name) => Math.abs((ratios[name] ?? 0) - (known[name] ?? 0)) > kMinRatioChange * (known[name] ?? 0))
    );
  });
  return calls || Object.entries(newer.inner).some(([route, inner]) => older?.inner[route] !== inner);
}
