/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Offers as far as suspects are concerned: which wait for others, and which ran when the target of this host ended. */

import {
  hashText,
  requestIdentity,
  monotonicMs,
  type Payload,
  type RequestIdentity,
  type SuspectCall,
  SuspectGate,
  type SuspectRefusal,
  type Suspects,
  type Suspicion,
  chooseProbeTarget,
  wallMs,
} from '@gentiandrum/core';
import type { OfferTerms } from '@gentiandrum/protocol';
import { probeTarget } from '../client/targetProbe.js';
import type { Logger } from './logger.js';

/** Share of the time that is left for which a suspect may wait for others of its kind. */
const kWaitShare = 0.5;
/** How often waiting suspects are looked at, in milliseconds. */
const kExpiryPeriodMs = 20;
/** Time for the other connections of an ended target to bring what was on its way, in milliseconds. */
const kDrainMs = 5;

/** What the offers use of their daemon. */
export interface SuspectOffersDeps {
  suspects: Suspects;
  logger: Logger;
  /** Name and base address of the target on this host; undefined while there is none. */
  target: () => { name: string; url: string } | undefined;
  /** Targets that take work for a service, by name. */
  targets: (service: string) => string[];
}

/** One offer at the gate. */
class SuspectOffer implements SuspectCall {
  readonly route: string;
  readonly suspicion: Suspicion | undefined;
  readonly waitUntil: number;
  resolve: (refusal: SuspectRefusal | undefined) => void = () => undefined;

  constructor(
    readonly service: string,
    terms: OfferTerms,
    private readonly _payload: Payload,
  ) {
    this.route = terms.className;
    this.suspicion = terms.suspicion;
    this.waitUntil = monotonicMs() + terms.remainingMs * kWaitShare;
  }

  readonly identity = (): RequestIdentity => requestIdentity(this.service, this._payload);
}

/** Suspects at the gate of one daemon. */
export class SuspectOffers {
  private readonly _gate: SuspectGate<SuspectOffer>;
  private readonly _offers = new Map<string, SuspectOffer>();
  private readonly _running = new Set<SuspectOffer>();
  private _crashCheck: Promise<boolean> | undefined;
  private _expiryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _deps: SuspectOffersDeps) {
    this._gate = new SuspectGate<SuspectOffer>(_deps.suspects, {
      onPass: (offer) => {
        offer.resolve(undefined);
      },
      onRefuse: (offer, reason) => {
        offer.resolve(reason);
      },
      isProbeTarget: (fingerprint, { service }) => this._isProbeTarget(fingerprint, service),
    });
  }

  /** Lets an offer through, now or when others have ended; resolves with why it is refused. */
  async enter(terms: OfferTerms, payload: Payload): Promise<SuspectRefusal | undefined> {
    const offer = new SuspectOffer(terms.service, terms, payload);
    const decision = this._gate.offer(offer);
    switch (decision.kind) {
      case 'pass':
        break;
      case 'refused':
        return decision.reason;
      case 'wait': {
        const refusal = await this._wait(offer);
        if (refusal) {
          this._gate.leave(offer);
          return refusal;
        }
      }
    }
    this._offers.set(terms.attempt, offer);
    return undefined;
  }

  /** What is held against the kind of an offer. */
  suspicionOf({ service }: OfferTerms, payload: Payload): Suspicion | undefined {
    return this._deps.suspects.assess(() => requestIdentity(service, payload))?.suspicion;
  }

  /** An offer is over, whether it ran or not. */
  leave(attempt: string): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._offers.delete(attempt);
      this._running.delete(offer);
      this._gate.leave(offer);
    }
  }

  /** An offer begins to run at the target. */
  started(attempt: string): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._running.add(offer);
    }
  }

  /** The target answered an offer with something other than a failure. */
  completed(attempt: string): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._gate.completed(offer);
    }
  }

  /** The connection of a running offer ended without an answer: resolves once it is known whether the target did. */
  async onConnectionLost(): Promise<void> {
    const target = this._deps.target();
    if (target) {
      this._crashCheck ??= this._checkForCrash(target.name, target.url).finally(() => {
        this._crashCheck = undefined;
      });
      await this._crashCheck;
    }
  }

  private async _checkForCrash(name: string, url: string): Promise<boolean> {
    const running = [...this._running];
    if ((await probeTarget(url)) !== 'refused') {
      return false;
    }
    await new Promise((resolve) => setTimeout(resolve, kDrainMs));
    const at = wallMs();
    this._deps.logger.warn('quarantine', 'The target ended while calls ran on it.', { target: name, running: running.length });
    this._gate.crashed(
      { id: hashText(`${name} ${at}`), at },
      running.map((offer) => ({ identity: offer.identity(), route: offer.route, call: offer })),
    );
    return true;
  }

  private _wait(offer: SuspectOffer): Promise<SuspectRefusal | undefined> {
    this._scheduleExpiry();
    return new Promise((resolve) => {
      offer.resolve = resolve;
    });
  }

  private _scheduleExpiry(): void {
    this._expiryTimer ??= setTimeout(() => {
      this._expiryTimer = undefined;
      this._gate.expire(monotonicMs());
      if (this._gate.waiting > 0) {
        this._scheduleExpiry();
      }
    }, kExpiryPeriodMs);
  }

  private _isProbeTarget(fingerprint: string, service: string): boolean {
    const targets = this._deps.targets(service).map((host) => ({ host }));
    return chooseProbeTarget(fingerprint, targets, new Set())?.host === this._deps.target()?.name;
  }
}
