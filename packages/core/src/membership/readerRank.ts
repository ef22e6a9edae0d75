/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Which hosts of an availability zone follow the platform's log for the others. Every daemon works it out by itself, from the same
 * ranking of the hosts that it believes alive: no election, no lease. Two zones' views may differ for a moment; one reader too many
 * costs a few calls, and one too few is made up for by looks of the members.
 */

import { RendezvousRank } from '../util/rendezvous.js';

/** Readers of a zone: a second one, so that nothing is late when the first dies without a word. */
const kReadersPerZone = 2;
/**
 * Hosts that say that the log does not answer them, from which on nobody else of the zone takes their place: it is the log that is
 * away, and each further reader would only add refused calls.
 */
const kMaxFailingReaders = 3;

/** What a daemon last said of its reading. */
interface ReaderReport {
  healthy: boolean;
  at: number;
}

/** What this host does for its zone; `first` also follows and writes the hosts' records. `ahead` rank before it or read for it. */
export type ReaderRole = { kind: 'reader'; first: boolean; ahead: string[] } | { kind: 'member'; readers: string[]; ahead: string[] };

/** Ranks the hosts of one zone as readers. */
export class ReaderRank {
  private readonly _rank: RendezvousRank;
  private readonly _reports = new Map<string, ReaderReport>();
  /** Since when a host counts among the readers here, so that it gets the time to say so. */
  private _expectedSince = new Map<string, number>();

  /** @param _windowMs time without a report after which a reader is passed over, in milliseconds */
  constructor(
    zone: string,
    private readonly _self: string,
    private readonly _windowMs: number,
  ) {
    this._rank = new RendezvousRank(zone);
  }

  /** Notes what a daemon reports of its reading. */
  recordReport(host: string, healthy: boolean, now: number): void {
    this._reports.set(host, { healthy, at: now });
  }

  /** Whether a daemon of the zone reported lately that the log answers it. */
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

  /** The place of this host among the hosts of its zone; `isDown` tells of those that can't be reached from here. */
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
