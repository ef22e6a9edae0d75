/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Determines which hosts of an availability zone read the platform's log for the others. Each daemon computes this from the same ranking of
 * the hosts that it considers alive, without an election or a lease. Views may differ for a short time: an extra reader costs a few
 * calls, and without a reader the members poll the log themselves.
 */

import { RendezvousRank } from '../util/rendezvousRank.js';

/** Readers of a zone; the second one is a hot standby. */
const kReadersPerZone = 2;
/**
 * Number of hosts reporting that the log does not respond at which no other host replaces them: the log itself is then presumed
 * unavailable, and more readers would only add failing calls.
 */
const kMaxFailingReaders = 3;

/** Latest report of a daemon on whether the log responds to it. */
interface ReaderReport {
  healthy: boolean;
  at: number;
}

/**
 * Role of this host in its zone. The `first` reader also reads and writes the hosts' records. `ahead` lists the higher-ranked hosts that
 * were considered.
 */
export type ReaderRole = { kind: 'reader'; first: boolean; ahead: string[] } | { kind: 'member'; readers: string[]; ahead: string[] };

/** Assigns reader roles to the hosts of one zone. Times are monotonic, in milliseconds. */
export class ReaderRank {
  private readonly _rank: RendezvousRank;
  private readonly _reports = new Map<string, ReaderReport>();
  /** Time since which a host is expected to be a reader; its first report must arrive within one window. */
  private _expectedSince = new Map<string, number>();

  /** @param _windowMs time without a report after which a reader is replaced, in milliseconds */
  constructor(
    zone: string,
    private readonly _self: string,
    private readonly _windowMs: number,
  ) {
    this._rank = new RendezvousRank(zone);
  }

  /** Records whether the log responds to a daemon. */
  recordReport(host: string, healthy: boolean, now: number): void {
    this._reports.set(host, { healthy, at: now });
  }

  /** Whether a daemon of the zone reported within the last window that the log responds to it. */
  hasHealthyReader(now: number): boolean {
    for (const [host, { healthy, at }] of this._reports) {
      if (now - at > this._windowMs) {
        this._reports.delete(host);
      } else if (healthy) {
        return true;
      }
    }
    return false;
  }

  /** Returns the role of this host among the hosts of its zone. */
  determineRole(hosts: readonly { host: string }[], isUnreachable: (host: string) => boolean, now: number): ReaderRole {
    const readers: string[] = [];
    const expectedSince = new Map<string, number>();
    const ahead: string[] = [];
    let failing = 0;
    for (const { host } of this._rank.order(hosts)) {
      if (readers.length === kReadersPerZone || failing >= kMaxFailingReaders) {
        break;
      }
      if (host === this._self) {
        this._expectedSince = expectedSince;
        return { kind: 'reader', first: readers.length === 0, ahead };
      }
      ahead.push(host);
      if (isUnreachable(host)) {
        continue;
      }
      const since = this._expectedSince.get(host) ?? now;
      expectedSince.set(host, since);
      switch (this._readerStatus(host, since, now)) {
        case 'reads':
          readers.push(host);
          break;
        case 'failing':
          failing++;
          break;
        case 'silent':
          break;
      }
    }
    this._expectedSince = expectedSince;
    return { kind: 'member', readers, ahead };
  }

  private _readerStatus(host: string, since: number, now: number): 'reads' | 'failing' | 'silent' {
    const report = this._reports.get(host);
    if (!report || now - report.at > this._windowMs) {
      return now - Math.max(since, report?.at ?? since) > this._windowMs ? 'silent' : 'reads';
    }
    return report.healthy ? 'reads' : 'failing';
  }
}
