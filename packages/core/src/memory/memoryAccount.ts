/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * One account of the memory that a daemon holds for the bodies of requests and responses, whoever sends them.
 *
 * Short bodies are always counted, and may use a share of the limit that long ones leave free. A long body reserves its stated length before
 * it is received, or waits until that is available; one of unknown length grows, and the largest of these is dropped
 * when another one has no room to grow. Responses may use more of the limit than requests, as requests in flight keep their memory until they are answered.
 */

/** Where bodies are held. */
export const kMemoryPlaces = ['requests', 'received_requests', 'target_responses', 'received_responses', 'unread_responses'] as const;

export type MemoryPlace = (typeof kMemoryPlaces)[number];

/** Longest body that counts as short, in bytes. */
export const kShortBodyBytes = 65_536;

/** Shares of the limit that long bodies may use. */
const kLongShares: Readonly<Record<MemoryPlace, number>> = {
  requests: 7 / 8,
  received_requests: 7 / 8,
  target_responses: 15 / 16,
  received_responses: 15 / 16,
  unread_responses: 1,
};
/** Share of the limit that one response of unknown length may use; requests are bounded by the configuration too. */
const kGrowingResponseShare = 1 / 2;
/** Share of the limit below which the account is considered relieved. */
const kRelievedShare = 1 / 2;

export interface MemoryEvents {
  /** A body had to wait, or was dropped or refused, for the first time since the account was relieved. */
  onExhausted(): void;
  /** Less than half of the limit is held, and no body waits. */
  onRelieved(): void;
}

/** Outcome of a reservation: `too_long` if it exceeds what bodies of its kind may use in total. */
export type Reservation = 'granted' | 'waiting' | 'too_long';

const kNoCallback = (): void => undefined;
const kNoEvents: MemoryEvents = { onExhausted: kNoCallback, onRelieved: kNoCallback };

/** Memory for the bodies of one daemon. */
export class MemoryAccount {
  /** Set by the owner of the account. */
  events: MemoryEvents = kNoEvents;
  private readonly _held: Record<MemoryPlace, number> = {
    requests: 0,
    received_requests: 0,
    target_responses: 0,
    received_responses: 0,
    unread_responses: 0,
  };
  private _heldBytes = 0;
  private readonly _waiting = new Set<MemoryLease>();
  private readonly _growing = new Set<MemoryLease>();
  private _exhausted = false;

  /** @param limitBytes limit for all bodies, in bytes */
  constructor(readonly limitBytes: number) {}

  /** Bytes held by all bodies. */
  get heldBytes(): number {
    return this._heldBytes;
  }

  /** Number of bodies that wait for memory. */
  get waiting(): number {
    return this._waiting.size;
  }

  /** Whether no further requests should be accepted: even the share of short bodies is used up. */
  get full(): boolean {
    return this._heldBytes >= this.limitBytes;
  }

  /** Bytes held by place. */
  heldBy(place: MemoryPlace): number {
    return this._held[place];
  }

  /** Bytes held, by all places. */
  get held(): Record<MemoryPlace, number> {
    return { ...this._held };
  }

  /** Opens a lease without bytes for one body. */
  open(place: MemoryPlace): MemoryLease {
    return new MemoryLease(this, place);
  }

  /** @internal Called by leases, as are the next methods. */
  add(place: MemoryPlace, bytes: number): void {
    this._heldBytes += bytes;
    this._held[place] += bytes;
  }

  /** @internal */
  reserve(lease: MemoryLease, bytes: number): Reservation {
    if (this._fits(lease, bytes)) {
      return 'granted';
    }
    this._markExhausted();
    if (bytes > this._longLimit(lease.place)) {
      return 'too_long';
    }
    this._waiting.add(lease);
    return 'waiting';
  }

  /** @internal */
  grow(lease: MemoryLease, bytes: number): boolean {
    if (lease.isResponse && bytes > this.limitBytes * kGrowingResponseShare) {
      this._markExhausted();
      return false;
    }
    this._growing.add(lease);
    while (!this._fits(lease, bytes)) {
      this._markExhausted();
      const largest = this._largestGrowing();
      if (!largest || largest === lease) {
        return false;
      }
      largest.drop();
    }
    return true;
  }

  /** @internal */
  completed(lease: MemoryLease): void {
    this._growing.delete(lease);
  }

  /** @internal */
  released(lease: MemoryLease): void {
    // Most leases are of short bodies, which neither wait nor grow.
    if (lease.long) {
      this._waiting.delete(lease);
      this._growing.delete(lease);
    }
  }

  /** @internal Grants the waiting reservations that fit: those of responses first, as their requests have run, then in order. */
  grantWaiting(): void {
    if (!this._exhausted) {
      return;
    }
    const waiting = [...this._waiting];
    for (const lease of [...waiting.filter(({ isResponse }) => isResponse), ...waiting.filter(({ isResponse }) => !isResponse)]) {
      if (this._waiting.has(lease) && this._fits(lease, lease.wantedBytes)) {
        this._waiting.delete(lease);
        lease.grant();
      }
    }
    if (this._waiting.size === 0 && this._heldBytes < this.limitBytes * kRelievedShare) {
      this._exhausted = false;
      this.events.onRelieved();
    }
  }

  private _fits(lease: MemoryLease, bytes: number): boolean {
    return this._heldBytes - lease.bytes + bytes <= this._longLimit(lease.place);
  }

  private _longLimit(place: MemoryPlace): number {
    return this.limitBytes * kLongShares[place];
  }

  private _largestGrowing(): MemoryLease | undefined {
    let largest: MemoryLease | undefined;
    for (const lease of this._growing) {
      largest = !largest || lease.bytes > largest.bytes ? lease : largest;
    }
    return largest;
  }

  private _markExhausted(): void {
    if (!this._exhausted) {
      this._exhausted = true;
      this.events.onExhausted();
    }
  }
}

/** Memory of one body. Every lease must be released; releasing it again has no effect. */
export class MemoryLease {
  /** Called when the body is dropped because others need its memory; must give up the body. The lease is released already. */
  onDropped = kNoCallback;
  /** @internal Whether a reservation was made, or the body has grown beyond the length of short ones. */
  long = false;
  private _bytes = 0;
  private _wantedBytes = 0;
  private _onGranted = kNoCallback;
  private _released = false;

  constructor(
    private readonly _account: MemoryAccount,
    readonly place: MemoryPlace,
  ) {}

  /** Bytes held. */
  get bytes(): number {
    return this._bytes;
  }

  get isResponse(): boolean {
    return this.place !== 'requests' && this.place !== 'received_requests';
  }

  /** @internal Bytes of the reservation that waits. */
  get wantedBytes(): number {
    return this._wantedBytes;
  }

  /** Counts `bytes` in total, without a check: for short bodies, and for bytes that are held already. */
  hold(bytes: number): void {
    if (!this._released && bytes > this._bytes) {
      this._account.add(this.place, bytes - this._bytes);
      this._bytes = bytes;
    }
  }

  /** Reserves `bytes` in total. If that has to wait, `onGranted` is called later, unless the lease is released before. */
  reserve(bytes: number, onGranted: () => void): Reservation {
    if (this._released) {
      return 'too_long';
    }
    this.long = true;
    const reservation = this._account.reserve(this, bytes);
    if (reservation === 'granted') {
      this.hold(bytes);
    } else if (reservation === 'waiting') {
      this._wantedBytes = bytes;
      this._onGranted = onGranted;
    }
    return reservation;
  }

  /** Grows a body of unknown length to `bytes` in total; returns false if there is no room. May drop larger bodies that grow as well. */
  grow(bytes: number): boolean {
    if (this._released) {
      return false;
    }
    this.long ||= bytes > kShortBodyBytes;
    const granted = !this.long || this._account.grow(this, bytes);
    if (granted) {
      this.hold(bytes);
    }
    return granted;
  }

  /** The body is complete: it does not grow any more, and is not dropped. */
  complete(): void {
    this._account.completed(this);
  }

  /** Gives back part of the memory, as a part of the body is not needed any more. */
  shrink(bytes: number): void {
    if (!this._released) {
      const shrunk = Math.min(bytes, this._bytes);
      this._bytes -= shrunk;
      this._account.add(this.place, -shrunk);
      this._account.grantWaiting();
    }
  }

  /** Gives back all memory. */
  release(): void {
    if (!this._released) {
      this._released = true;
      this._account.add(this.place, -this._bytes);
      this._bytes = 0;
      this._account.released(this);
      this._account.grantWaiting();
    }
  }

  /** @internal */
  grant(): void {
    this.hold(this._wantedBytes);
    this._onGranted();
  }

  /** @internal */
  drop(): void {
    this.release();
    this.onDropped();
  }
}
