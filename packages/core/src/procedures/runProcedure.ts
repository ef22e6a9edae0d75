/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs procedures against effect handlers. */

import type { Effect, EffectName, Effects, Procedure, Reply } from './effects.js';

/** One handler per effect. */
export type EffectHandlers = { [K in EffectName]?: (effect: Extract<Effect, { type: K }>) => Promise<Effects[K]['reply']> };

/** Runs a procedure to completion. Throws if an effect has no handler. */
export async function runProcedure<T>(procedure: Procedure<T>, handlers: EffectHandlers): Promise<T> {
  let step = procedure.next();
  while (step.done !== true) {
    const effect = step.value;
    const handler = handlers[effect.type] as ((effect: Effect) => Promise<Reply>) | undefined;
    if (!handler) {
      throw new Error(`expected a handler for the effect "${effect.type}", got none`);
    }
    step = procedure.next(await handler(effect));
  }
  return step.value;
}
