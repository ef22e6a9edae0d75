/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Baseline policies: naive retries at every hop, and static concurrency limits with queues and per-hop retry budgets. */

import type { Cancel } from './fakeTarget.js';
import type { CallResult, Policy } from './policy.js';
import type { ChainCall, Host, World } from './world.js';

const kAttemptTimeoutMs = 1_000;
const kResetDelayMs = 1;
const kNaiveRetries = 3;
const kBudgetRetries = 2;
const kRetryBudgetRatio = 0.1;
const kRetryBudgetBurst = 10;
/** Queue capacity of a static gate, in calls per slot. */
const kQueuePerSlot = 2;

/** Sends one attempt of a call to a host; `done` reports whether it succeeded. */
type SendAttempt = (from: Host, to: Host, call: ChainCall, done: (ok: boolean) => void) => Cancel;

/** No overload control: up to three immediate retries at every hop, unbounded queues at the targets, and no cancellation. */
export class NaivePolicy implements Policy {
  readonly name = 'naive';

  constructor(private readonly _world: World) {}

  call(from: Host, call: ChainCall, _parent: string | undefined, done: (result: CallResult) => void): Cancel {
    this._world.counters.firstOffers++;
    this._try(from, call, kNaiveRetries, done);
    return () => undefined;
  }

  private _try(from: Host, call: ChainCall, retriesLeft: number, done: (result: CallResult) => void): void {
    const hosts = this._world.hostsOf(call.load.chain[call.step] ?? '');
    const to = hosts[Math.floor(this._world.random() * hosts.length)];
    if (!to) {
      done({ ok: false, retryAfter: false });
      return;
    }
    sendDirect(this._world, this, from, to, call, (ok) => {
      if (ok || retriesLeft === 0 || !call.load.idempotent || this._world.time.now >= call.deadline) {
        done({ ok, retryAfter: false });
      } else {
        this._world.counters.repeats++;
        this._try(from, call, retriesLeft - 1, done);
      }
    });
  }
}

/** Static concurrency limits with FIFO queues, up to two retries per hop within a budget, and the less loaded of two random targets. */
export class StaticPolicy implements Policy {
  readonly name = 'static';
  private readonly _gates: StaticGate[];
  private readonly _budgets = new Map<string, number>();

  constructor(private readonly _world: World) {
    this._gates = _world.hosts.map((host) => new StaticGate(host.slots));
  }

  call(from: Host, call: ChainCall, _parent: string | undefined, done: (result: CallResult) => void): Cancel {
    this._world.counters.firstOffers++;
    const budgetKey = `${from.name}/${call.load.chain[call.step] ?? ''}`;
    this._budgets.set(budgetKey, Math.min(kRetryBudgetBurst, (this._budgets.get(budgetKey) ?? kRetryBudgetBurst) + kRetryBudgetRatio));
    let cancel: Cancel = () => undefined;
    const attempt = (retriesLeft: number): void => {
      const to = this._choose(call.load.chain[call.step] ?? '');
      cancel = this._send(from, to, call, (ok) => {
        if (ok || retriesLeft === 0 || !call.load.idempotent || this._world.time.now >= call.deadline || !this._takeRetryToken(budgetKey)) {
          done({ ok, retryAfter: false });
        } else {
          this._world.counters.repeats++;
          attempt(retriesLeft - 1);
        }
      });
    };
    attempt(kBudgetRetries);
    return () => {
      cancel();
    };
  }

  private _takeRetryToken(budgetKey: string): boolean {
    const tokens = this._budgets.get(budgetKey) ?? 0;
    this._budgets.set(budgetKey, tokens >= 1 ? tokens - 1 : tokens);
    return tokens >= 1;
  }

  /** Returns the less loaded of two random targets, by reported load. */
  private _choose(service: string): Host {
    const hosts = this._world.hostsOf(service);
    const draw = (): Host | undefined => hosts[Math.floor(this._world.random() * hosts.length)];
    const [a, b] = [draw(), draw()];
    if (!a || !b) {
      throw new Error(`expected targets of service ${service}, got none`);
    }
    return a.target.reportedLoad <= b.target.reportedLoad ? a : b;
  }

  private readonly _send: SendAttempt = (from, to, call, done) => {
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
    const timer = this._world.time.schedule(Math.min(kAttemptTimeoutMs, call.deadline - this._world.time.now), () => {
      cancel();
      finish(false);
    });
    const delayMs = this._world.delayMs(from, to);
    if (delayMs !== undefined && gate) {
      this._world.time.schedule(delayMs, () => {
        if (open) {
          cancel = gate.enter(
            (release) =>
              sendDirect(this._world, this, to, to, call, (ok) => {
                release();
                this._world.time.schedule(delayMs, () => {
                  finish(ok);
                });
              }),
            () => {
              this._world.time.schedule(delayMs, () => {
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

interface GateEntry {
  start: (release: () => void) => Cancel;
  cancel: Cancel | undefined;
  closed: boolean;
}

/** Limits concurrent calls to a fixed number, with a bounded queue. */
class StaticGate {
  private _running = 0;
  private readonly _queue: GateEntry[] = [];

  constructor(private readonly _slots: number) {}

  /** Starts a call when a slot is free, queues it otherwise, and calls `onRefused` when the queue is full. */
  enter(start: (release: () => void) => Cancel, onRefused: () => void): Cancel {
    const entry: GateEntry = { start, cancel: undefined, closed: false };
    if (this._running < this._slots) {
      this._start(entry);
    } else if (this._queue.length < this._slots * kQueuePerSlot) {
      this._queue.push(entry);
    } else {
      onRefused();
    }
    return () => {
      if (!entry.closed) {
        entry.closed = true;
        if (entry.cancel) {
          entry.cancel();
          this._release();
        }
      }
    };
  }

  private _start(entry: GateEntry): void {
    this._running++;
    entry.cancel = entry.start(() => {
      if (!entry.closed) {
        entry.closed = true;
        this._release();
      }
    });
  }

  private _release(): void {
    this._running--;
    for (let next = this._queue.shift(); next; next = this._queue.shift()) {
      if (!next.closed) {
        this._start(next);
        return;
      }
    }
  }
}

/** Sends a call to a target over the network, without a gate. */
function sendDirect(world: World, policy: Policy, from: Host, to: Host, call: ChainCall, done: (ok: boolean) => void): Cancel {
  const delayMs = from === to ? 0 : world.delayMs(from, to);
  let ended = false;
  const finish = (ok: boolean): void => {
    if (!ended) {
      ended = true;
      world.time.cancel(timer);
      done(ok);
    }
  };
  const timer = world.time.schedule(Math.min(kAttemptTimeoutMs, call.deadline - world.time.now), () => {
    finish(false);
  });
  let cancel: Cancel = () => undefined;
  if (delayMs !== undefined) {
    world.time.schedule(delayMs, () => {
      if (to.crashed) {
        world.time.schedule(kResetDelayMs, () => {
          finish(false);
        });
        return;
      }
      const next = { ...call, step: call.step + 1 };
      cancel = to.target.serve({
        callDownstream:
          next.step < call.load.chain.length
            ? (downstreamDone) =>
                policy.call(to, next, undefined, ({ ok }) => {
                  downstreamDone(ok);
                })
            : undefined,
        onStarted: () => {
          world.recordStart(call.root);
        },
        onDone: (result) => {
          world.time.schedule(delayMs, () => {
            finish(result === 'ok');
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
