/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Offers that a gate took from other daemons, for as long as their senders may not know how they ended. A daemon that stops as planned
 * names them in its last record; an offer that is lost and not named there was never taken, so it may be made to another target.
 *
 * A connection carries one offer at a time, so the next one proves that the answer to the one before was read, and so does an end of
 * the connection that its sender chose.
 */

import type { LeaveProof } from '../membership/memberView.js';

/**
 * Most offers that a last record names; it goes to every daemon. Senders that let go of their connections leave none, so more means that
 * many are cut off, and then nothing is proved.
 */
const kMaxNamed = 200;

/** An offer that was taken. */
export interface TakenOffer {
  attempt: string;
  /** Daemon that sent it; empty when it didn't say. */
  from: string;
  /** When its sender has given it up at the latest, on the monotonic clock. */
  until: number;
}

/** Follows the offers on connections, which are told apart by identity. */
export class TakenOffers<C extends object> {
  /** The newest offer of each open connection; `undefined` once its sender knows its end. */
  private readonly _open = new Map<C, { from: string; unsettled: TakenOffer | undefined }>();
  /** Offers of connections that broke. */
  private _broken: TakenOffer[] = [];

  /** Open connections over which offers came. */
  get connections(): number {
    return this._open.size;
  }

  /** Daemons at the other ends of those. */
  get senders(): string[] {
    return [...new Set([...this._open.values()].map(({ from }) => from))].filter((from) => from !== '');
  }

  /** Notes an offer; true when it is the first on its connection. */
  take(connection: C, offer: TakenOffer): boolean {
    const first = !this._open.has(connection);
    this._open.set(connection, { from: offer.from, unsettled: offer });
    return first;
  }

  /** An offer was refused: whatever its sender hears, it has not run. */
  refused(connection: C, attempt: string): void {
    const known = this._open.get(connection);
    if (known?.unsettled?.attempt === attempt) {
      known.unsettled = undefined;
    }
    this._broken = this._broken.filter((offer) => offer.attempt !== attempt);
  }

  /** A connection ended; `bySender`: its sender closed it in order, and waits for nothing on it. */
  closed(connection: C, bySender: boolean, now: number): void {
    const unsettled = this._open.get(connection)?.unsettled;
    this._open.delete(connection);
    this._broken = this._broken.filter(({ until }) => until > now);
    if (unsettled && !bySender) {
      this._broken.push(unsettled);
    }
  }

  /** What this daemon can prove once it takes nothing any more; undefined when that is too much to tell. */
  leaveProof(now: number): LeaveProof | undefined {
    const open = [...this._open.values()].flatMap(({ unsettled }) => unsettled ?? []);
    const unsettled = [...open, ...this._broken].filter(({ until }) => until > now).map(({ attempt }) => attempt);
    return unsettled.length <= kMaxNamed ? { unsettled } : undefined;
  }
}
