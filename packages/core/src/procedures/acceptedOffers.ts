/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tracks accepted non-repeatable offers of other daemons until their senders have confirmed the results. A daemon that shuts down
 * gracefully lists them in its last record; a lost offer that is not listed was never accepted, so it may be offered to another target.
 *
 * A connection carries one offer at a time, so the next offer on it confirms the previous result. A sender also confirms all results by
 * reporting that it has no open offers. A closed connection confirms nothing, because the response may have been lost.
 */

import type { LeaveProof } from '../membership/memberView.js';

/** Maximum number of offers that the last record lists. With more offers, it contains no proof, because every daemon receives it. */
const kMaxListedOffers = 50;
/** Time for which an offer is listed after its deadline, in milliseconds, in case the sender's host was suspended. */
const kListedAfterDeadlineMs = 60_000;

/** An accepted offer, and its deadline on the monotonic clock in milliseconds. */
export interface AcceptedOffer {
  attempt: string;
  deadline: number;
}

interface UnsettledOffer extends AcceptedOffer {
  from: string;
}

/** Tracks offers by connection; connections are compared by identity. */
export class AcceptedOffers<C extends object> {
  /** Latest offer of each open connection; `unsettled` is undefined if the offer may run twice or was refused. */
  private readonly _open = new Map<C, { from: string; unsettled: UnsettledOffer | undefined }>();
  /** Offers of closed connections. */
  private _closed: UnsettledOffer[] = [];
  /** Senders that know that this daemon is leaving and have no open offers. */
  private readonly _released = new Set<string>();

  /** Daemons that sent offers and have not reported that none are open. */
  get senders(): string[] {
    const all = [...this._open.values(), ...this._closed].map(({ from }) => from);
    return [...new Set(all)].filter((from) => from !== '' && !this._released.has(from));
  }

  /** Records an offer; `offer` is undefined for one that may run twice. Returns whether it is the first on its connection. */
  accept(connection: C, from: string, offer: AcceptedOffer | undefined): boolean {
    const first = !this._open.has(connection);
    this._open.set(connection, { from, unsettled: offer && { ...offer, from } });
    return first;
  }

  /** Removes a refused offer, which did not run. */
  refused(connection: C, attempt: string): void {
    const known = this._open.get(connection);
    if (known?.unsettled?.attempt === attempt) {
      known.unsettled = undefined;
    }
    this._closed = this._closed.filter((offer) => offer.attempt !== attempt);
  }

  /** Records that a connection closed. */
  closed(connection: C, now: number): void {
    const unsettled = this._open.get(connection)?.unsettled;
    this._open.delete(connection);
    this._closed = this._closed.filter((offer) => isListed(offer, now));
    if (unsettled) {
      this._closed.push(unsettled);
    }
  }

  /** Records that a sender knows that this daemon is leaving, and has no open offers here. */
  released(from: string): void {
    this._released.add(from);
  }

  /** Proof for the last record, once this daemon accepts no offers; undefined when there are too many offers to list. */
  leaveProof(now: number): LeaveProof | undefined {
    const open = [...this._open.values()].flatMap(({ unsettled }) => unsettled ?? []);
    const listed = [...open, ...this._closed].filter((offer) => isListed(offer, now) && !this._released.has(offer.from));
    return listed.length <= kMaxListedOffers ? { unsettled: listed.map(({ attempt }) => attempt) } : undefined;
  }
}

function isListed({ deadline }: AcceptedOffer, now: number): boolean {
  return now < deadline + kListedAfterDeadlineMs;
}
