/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Offers that must not run twice and that a gate took from other daemons, for as long as their senders may not know how they ended. A
 * daemon that stops as planned names them in its last record; an offer that is lost and not named there was never taken, so it may be
 * made to another target.
 *
 * Only a sender can tell that it knows an end: a connection carries one offer at a time, so the next one on it does, and a sender that
 * knows of the leave and has no open offer says so. The end of a connection tells nothing, as the answer may be lost on the way.
 */

import type { LeaveProof } from '../membership/memberView.js';

/** Most offers that a last record names, as it goes to every daemon; with more, from senders that are cut off, nothing is proved. */
const kMaxListedOffers = 50;
/** Time for which an offer is named after its deadline, in milliseconds: the clock of a sender's host may have stood still. */
const kListedAfterDeadlineMs = 60_000;

/** An offer that was taken, and its deadline on the monotonic clock. */
export interface AcceptedOffer {
  attempt: string;
  deadline: number;
}

interface UnsettledOffer extends AcceptedOffer {
  from: string;
}

/** Follows the offers on connections, which are told apart by identity. */
export class AcceptedOffers<C extends object> {
  /** The newest offer of each open connection, unless it may run twice or was refused. */
  private readonly _open = new Map<C, { from: string; unsettled: UnsettledOffer | undefined }>();
  /** Offers of connections that ended. */
  private _ended: UnsettledOffer[] = [];
  /** Senders that know of the leave and have no open offers. */
  private readonly _released = new Set<string>();

  /** Daemons whose offers came, and that have not said that they have none open. */
  get senders(): string[] {
    const all = [...this._open.values(), ...this._ended].map(({ from }) => from);
    return [...new Set(all)].filter((from) => from !== '' && !this._released.has(from));
  }

  /** Notes an offer of a daemon; `offer` is undefined for one that may run twice. True when it is the first on its connection. */
  accept(connection: C, from: string, offer: AcceptedOffer | undefined): boolean {
    const first = !this._open.has(connection);
    this._open.set(connection, { from, unsettled: offer && { ...offer, from } });
    return first;
  }

  /** An offer was refused: whatever its sender hears, it has not run. */
  refused(connection: C, attempt: string): void {
    const known = this._open.get(connection);
    if (known?.unsettled?.attempt === attempt) {
      known.unsettled = undefined;
    }
    this._ended = this._ended.filter((offer) => offer.attempt !== attempt);
  }

  /** A connection ended. */
  closed(connection: C, now: number): void {
    const unsettled = this._open.get(connection)?.unsettled;
    this._open.delete(connection);
    this._ended = this._ended.filter((offer) => isListed(offer, now));
    if (unsettled) {
      this._ended.push(unsettled);
    }
  }

  /** A sender knows that this daemon leaves, and has no open offer here. */
  released(from: string): void {
    this._released.add(from);
  }

  /** What this daemon can prove once it takes nothing any more; undefined when that is too much to tell. */
  leaveProof(now: number): LeaveProof | undefined {
    const open = [...this._open.values()].flatMap(({ unsettled }) => unsettled ?? []);
    const named = [...open, ...this._ended].filter((offer) => isListed(offer, now) && !this._released.has(offer.from));
    return named.length <= kMaxListedOffers ? { unsettled: named.map(({ attempt }) => attempt) } : undefined;
  }
}

function isListed({ deadline }: AcceptedOffer, now: number): boolean {
  return now < deadline + kListedAfterDeadlineMs;
}
