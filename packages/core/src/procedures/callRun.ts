/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** State of a running call: its attempts, its allowance, and the targets that may be offered it. */

import { kOpenReport } from '../admission/levelReport.js';
import type { ErrorKind } from '../errors/errorKind.js';
import type { Attempt } from './attempt.js';
import type { Call, ServeContext } from './callContext.js';
import type { TargetResponse } from './serveResult.js';

/** Number of refusals, since the first attempt or the latest retry, after which the call is not offered to another target. */
const kMaxRefusals = 3;
/** The same for refusals because of overload: an attempt is offered to one alternative target at most. */
const kMaxOverloadRefusals = 2;

/** State of a running call. Its refusals and refusing targets are those since the first attempt or the latest retry. */
export class CallRun {
  readonly attempts: Attempt[] = [];
  /** Targets that are not offered the call. */
  tried = new Set<string>();
  retries = 0;
  level = kOpenReport;
  final = false;
  lastResponse: TargetResponse | undefined;
  lastReason: ErrorKind = 'no_target';
  /** Targets that refused the call, or could not be reached. */
  private readonly _refusing = new Set<string>();
  private _refusals = 0;
  private _overloadRefusals = 0;

  constructor(
    readonly call: Call,
    readonly ctx: ServeContext,
    public allowance: number,
  ) {}

  /** Attempts without a result. */
  get open(): Attempt[] {
    return this.attempts.filter((attempt) => attempt.state.kind === 'offered');
  }

  /** Records that an attempt never started. */
  recordRefusal({ choice, state }: Attempt): void {
    this._refusing.add(choice.candidate.target);
    this._refusals++;
    if (state.kind === 'refused' && state.reason === 'overloaded') {
      this._overloadRefusals++;
    }
  }

  /** Starts a retry. Like a first attempt, it is offered elsewhere when targets refuse it. */
  startRetry(): void {
    this.retries++;
    this._refusing.clear();
    this._refusals = 0;
    this._overloadRefusals = 0;
    if (!this.hasUntriedTarget()) {
      this.tried.clear();
    }
  }

  /** Whether a call that never started may be offered to another target. This needs no allowance. */
  mayOfferElsewhere(): boolean {
    if (this._refusals >= kMaxRefusals || this._overloadRefusals >= kMaxOverloadRefusals) {
      return false;
    }
    if (!this.hasUntriedTarget()) {
      this._allowFailedTargets();
    }
    return this.hasUntriedTarget();
  }

  hasUntriedTarget(): boolean {
    return this.ctx.candidates(this.call.cls.service).some((candidate) => !this.tried.has(candidate.target));
  }

  /** Whether there is an allowance for a retry, of this call or of its parent. */
  hasAllowance(): boolean {
    const { parent } = this.call.chain;
    return this.allowance > 0 || (parent !== undefined && this.ctx.ledger.remaining(parent) > 0);
  }

  logDecision(step: 'refuse' | 'route' | 'retry' | 'compete' | 'lost' | 'end', reason: string, attempt?: Attempt): void {
    this.ctx.logDecision({
      request: this.call.id,
      step,
      cls: this.call.cls.name,
      target: attempt?.choice.candidate.target,
      weighed: attempt?.choice.weighed,
      reason,
    });
  }

  /**
   * Allows the targets again whose attempts failed before the latest retry, unless they refused the retry. Where a service has two targets,
   * a call would otherwise fail with its retry unused when one of them fails and the other refuses.
   */
  private _allowFailedTargets(): void {
    this.tried = new Set([...this._refusing, ...this.open.map(({ choice }) => choice.candidate.target)]);
  }
}
