/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Target choice for calls whose request fingerprint is suspected of crashing targets. */

import type { RequestIdentity } from '../quarantine/requestFingerprint.js';
import type { Suspicion } from '../quarantine/suspicion.js';
import { chooseProbeTarget, targetsForSuspect } from '../quarantine/probeTarget.js';
import { type Choice, isResponsive } from '../routing/targetPicker.js';
import type { Call, ServeContext } from './callContext.js';
import type { Payload } from './effects.js';

/** Decision on the next attempt of a call. */
export type SuspectChoice =
  /** Its request fingerprint is not suspected. */
  | { kind: 'free' }
  /** It goes to the target at which all daemons probe the fingerprint; `choice` is undefined when no target is left to choose. */
  | { kind: 'suspect'; choice: Choice | undefined; suspicion: Suspicion }
  | { kind: 'refused'; reason: 'suspected' | 'quarantined' };

/** Properties of a call that its request fingerprint is computed from. */
export function requestIdentity(service: string, { method, path, body }: Payload): RequestIdentity {
  return { method, host: service, path, body };
}

/** Decides whether and where the next attempt of a call may run. */
export function chooseForSuspect(call: Call, ctx: ServeContext, tried: ReadonlySet<string>, now: number): SuspectChoice {
  const { service } = call.cls;
  const assessed = ctx.suspects.assess(() => requestIdentity(service, call.payload));
  if (!assessed || assessed.verdict === 'clear') {
    return { kind: 'free' };
  }
  if (assessed.verdict === 'quarantined') {
    return { kind: 'refused', reason: 'quarantined' };
  }
  const responsive = ctx.candidates(service).filter(isResponsive);
  const candidates = responsive.map((candidate) => ({ host: candidate.target, candidate }));
  const targets = targetsForSuspect(assessed, candidates, ctx.unavailableTargets(service));
  if (targets.length === 0 && candidates.length > 0) {
    return { kind: 'refused', reason: 'suspected' };
  }
  const { suspicion } = assessed;
  const target = chooseProbeTarget(suspicion.fingerprint, targets, tried);
  return { kind: 'suspect', choice: target && ctx.picker.pick([target.candidate], new Set(), now), suspicion };
}
