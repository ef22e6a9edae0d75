/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The usual ways: naive retries at every hop, and a static limit with a queue and a retry budget per hop. */

import type { Cancel } from './fakeTarget.js';
import type { CallEnd, Policy } from './policy.js';
import type { ChainCall, Host, World } from './world.js';

const kAttemptMs = 1_000;
const kResetMs = 1;
const kNaiveRetries = 3;
const kBudgetRetries = 2;
const kBudgetRatio = 0.1;
const kBudgetBurst = 10;
/** Calls that may wait at a static gate, per slot. */
const kQueuePerSlot = 2;

/** One attempt: sends a call to a host, and learns how it went. */
type Attempt = (from: Host, to: Host, call: ChainCall, done: (ok: boolean) => void) => Cancel;

/** No control: three retries at every hop, at once; targets queue without bound, and nothing is cancelled. */
export class NaivePolicy implements Policy {
  readonly name = 'naive';

  constructor(private readonly _world: World) {}

  call(from: Host, call: ChainCall, _parent: string | undefined, done: (end: CallEnd) => void): Cancel {
    this._world.counters.firstOffers++;
    this._try(from, call, kNaiveRetries, done);
    return () => undefined;
  }

  private _try(from: Host, call: ChainCall, left: number, done: (end: CallEnd) => void): void {
    const hosts = this._world.hostsOf(call.load.chain[call.step] ?? '');
    const to = hosts[Math.floor(this._world.random() * hosts.length)];
    if (!to) {
      done({ ok: false, retryAfter: false });
      return;
    }
    sendDirect(this._world, this, from, to, call, (ok) => {
      if (ok || left === 0 || !call.load.idempotent || this._world.time.now >= call.deadline) {
        done({ ok, retryAfter: false });
      } else {
        this._world.counters.repeats++;
        this._try(from, call, left - 1, done);
      }
    });
  }
}

/** A static limit of the announced slots, first in first out, two retries a hop within a budget, least reported load. */
export class StaticPolicy implements Policy {
  readonly name = 'static';
  private readonly _gates: StaticGate[];
  private readonly _budgets = new Map<string, number>();

  constructor(private readonly _world: World) {
    this._gates = _world.hosts.map((host) => new StaticGate(host.slots));
  }

  call(from: Host, call: ChainCall, _parent: string | undefined, done: (end: CallEnd) => void): Cancel {
    this._world.counters.firstOffers++;
    const budget = `${from.name}/${call.load.chain[call.step] ?? ''}`;
    this._budgets.set(budget, Math.min(kBudgetBurst, (this._budgets.get(budget) ?? kBudgetBurst) + kBudgetRatio));
    let cancel: Cancel = () => undefined;
    const tryOnce = (left: number): void => {
      const to = this._choose(call.load.chain[call.step] ?? '');
      cancel = this._send(from, to, call, (ok) => {
        if (ok || left === 0 || !call.load.idempotent || this._world.time.now >= call.deadline || !this._spend(budget)) {
          done({ ok, retryAfter: false });
        } else {
          this._world.counters.repeats++;
          tryOnce(left - 1);
        }
      });
    };
    tryOnce(kBudgetRetries);
    return () => {
      cancel();
    };
  }

  private _spend(budget: string): boolean {
    const left = this._budgets.get(budget) ?? 0;
    this._budgets.set(budget, left >= 1 ? left - 1 : left);
    return left >= 1;
  }

  /** The less loaded of two random targets, by their own reports. */
  private _choose(service: string): Host {
    const hosts = this._world.hostsOf(service);
    const draw = (): Host | undefined => hosts[Math.floor(this._world.random() * hosts.length)];
    const [a, b] = [draw(), draw()];
    if (!a || !b) {
      throw new Error(`expected targets of ${service}`);
    }
    return a.target.reported <= b.target.reported ? a : b;
  }

  private readonly _send: Attempt = (from, to, call, done) => {
    const gate = this._gates[to.index];
    let cancel: Cancel = () => undefined;
    let open = true;
    const finish = (ok: boolean): void => {
      if (open) {
        open = false;
        this._world.time.cancel(timer);
        done(ok);
      }
    };
    const timer = this._world.time.after(Math.min(kAttemptMs, call.deadline - this._world.time.now), () => {
      cancel();
      finish(false);
    });
    const delay = this._world.delay(from, to);
    if (delay !== undefined && gate) {
      this._world.time.after(delay, () => {
        if (open) {
          cancel = gate.enter(
            (left) =>
              sendDirect(this._world, this, to, to, call, (ok) => {
                left();
                this._world.time.after(delay, () => {
                  finish(ok);
                });
              }),
            () => {
              this._world.time.after(delay, () => {
                finish(false);
              });
            },
          );
        }
      });
    }
    return () => {
      open = false;
      this._world.time.cancel(timer);
      cancel();
    };
  };
}

interface Waiting {
  start: (left: () => void) => Cancel;
  cancel: Cancel | undefined;
  gone: boolean;
}

/** A fixed number of calls at once, and a bounded queue. */
class StaticGate {
  private _running = 0;
  private readonly _queue: Waiting[] = [];

  constructor(private readonly _slots: number) {}

  /** Starts a call when there is room; `refused` is called when there is none to wait in either. */
  enter(start: (left: () => void) => Cancel, refused: () => void): Cancel {
    const waiting: Waiting = { start, cancel: undefined, gone: false };
    if (this._running < this._slots) {
      this._start(waiting);
    } else if (this._queue.length < this._slots * kQueuePerSlot) {
      this._queue.push(waiting);
    } else {
      refused();
    }
    return () => {
      if (!waiting.gone) {
        waiting.gone = true;
        if (waiting.cancel) {
          waiting.cancel();
          this._leave();
        }
      }
    };
  }

  private _start(waiting: Waiting): void {
    this._running++;
    waiting.cancel = waiting.start(() => {
      if (!waiting.gone) {
        waiting.gone = true;
        this._leave();
      }
    });
  }

  private _leave(): void {
    this._running--;
    for (let next = this._queue.shift(); next; next = this._queue.shift()) {
      if (!next.gone) {
        this._start(next);
        return;
      }
    }
  }
}

/** Sends a call to a target over the network, without any gate. */
function sendDirect(world: World, policy: Policy, from: Host, to: Host, call: ChainCall, done: (ok: boolean) => void): Cancel {
  const delay = from === to ? 0 : world.delay(from, to);
  let ended = false;
  const finish = (ok: boolean): void => {
    if (!ended) {
      ended = true;
      world.time.cancel(timer);
      done(ok);
    }
  };
  const timer = world.time.after(Math.min(kAttemptMs, call.deadline - world.time.now), () => {
    finish(false);
  });
  let cancel: Cancel = () => undefined;
  if (delay !== undefined) {
    world.time.after(delay, () => {
      if (to.dead) {
        world.time.after(kResetMs, () => {
          finish(false);
        });
        return;
      }
      const next = { ...call, step: call.step + 1 };
      cancel = to.target.serve({
        onward:
          next.step < call.load.chain.length
            ? (onwardDone) =>
                policy.call(to, next, undefined, ({ ok }) => {
                  onwardDone(ok);
                })
            : undefined,
        started: () => {
          world.started(call.root);
        },
        done: (how) => {
          world.time.after(delay, () => {
            finish(how === 'ok');
          });
        },
      });
    });
  }
  return () => {
    ended = true;
    world.time.cancel(timer);
    cancel();
  };
}
