/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Applies the suspect gate to offers, and reports the offers that were in flight when the target on this host crashed. */

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
import { checkConnection } from '../client/connectionCheck.js';
import type { Logger } from './logger.js';

/** Share of an offer's remaining time for which it may wait for requests with the same fingerprint. */
const kWaitShare = 0.5;
/** Period with which waiting suspects are checked for expiry, in milliseconds. */
const kExpiryPeriodMs = 20;
/** Time to wait for responses in transit on other connections of a crashed target, in milliseconds. */
const kDrainMs = 5;

/** Parts of the daemon that {@link SuspectOffers} depends on. */
export interface SuspectOffersDeps {
  suspects: Suspects;
  logger: Logger;
  /** Name and base address of the target on this host; undefined before its first announcement. */
  target: () => { name: string; url: string } | undefined;
  /** Names of the targets that accept requests for a service. */
  targets: (service: string) => string[];
}

/** One offer at the suspect gate. */
class SuspectOffer implements SuspectCall {
  readonly request: string;
  readonly route: string;
  readonly suspicion: Suspicion | undefined;
  readonly waitUntil: number;
  readonly expiresAt: number;
  resolve: (refusal: SuspectRefusal | undefined) => void = () => undefined;

  constructor(
    readonly service: string,
    terms: OfferTerms,
    private readonly _payload: Payload,
  ) {
    this.request = terms.request;
    this.route = terms.className;
    this.suspicion = terms.suspicion;
    this.waitUntil = monotonicMs() + terms.remainingMs * kWaitShare;
    this.expiresAt = monotonicMs() + terms.remainingMs;
  }

  readonly identity = (): RequestIdentity => requestIdentity(this.service, this._payload);
}

/** Offers at the suspect gate of one daemon. */
export class SuspectOffers {
  private readonly _gate: SuspectGate<SuspectOffer>;
  private readonly _offers = new Map<string, SuspectOffer>();
  private readonly _running = new Set<SuspectOffer>();
  private _crashCheck: Promise<boolean> | undefined;
  private _expiryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _deps: SuspectOffersDeps) {
    this._gate = new SuspectGate<SuspectOffer>(() => _deps.target()?.name ?? '', _deps.suspects, {
      onPass: (offer) => {
        offer.resolve(undefined);
      },
      onRefuse: (offer, reason) => {
        offer.resolve(reason);
      },
      isProbeTarget: (fingerprint, { service }) => this._isProbeTarget(fingerprint, service),
      isReady: (host, { service }) => _deps.targets(service).includes(host),
      onRun: ({ request }, { kind, fingerprint, probe }) => {
        _deps.logger.info('quarantine', kind === 'started' ? 'Run of a suspect started.' : 'Run of a suspect ended.', {
          kind: fingerprint,
          request,
          probe,
        });
      },
    });
  }

  /** Waits until an offer may pass; resolves to the reason if it is refused, else to undefined. */
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

  /** The known suspicion of an offer's fingerprint; undefined when there is none. */
  suspicionOf({ service }: OfferTerms, payload: Payload): Suspicion | undefined {
    return this._deps.suspects.assess(() => requestIdentity(service, payload))?.suspicion;
  }

  /** Removes an offer that is over, whether or not it ran; `mayStillRun` if its connection was lost or closed before the response. */
  leave(attempt: string, mayStillRun: boolean): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._offers.delete(attempt);
      this._running.delete(offer);
      this._gate.leave(offer, mayStillRun);
    }
  }

  /** Records that an offer is in flight at the target. */
  started(attempt: string): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._running.add(offer);
    }
  }

  /** Records that the target completed an offer without a server error. */
  completed(attempt: string): void {
    const offer = this._offers.get(attempt);
    if (offer) {
      this._gate.completed(offer);
    }
  }

  /** Handles a connection that closed without a complete response: checks whether the target crashed, and reports the crash. */
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
    if ((await checkConnection(url)) !== 'refused') {
      return false;
    }
    await new Promise((resolve) => setTimeout(resolve, kDrainMs));
    const at = wallMs();
    this._deps.logger.warn('quarantine', 'The target crashed with requests in flight.', { target: name, running: running.length });
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
