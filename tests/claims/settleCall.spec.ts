/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Guards against a chain that waits in vain for an onward call: its key was granted to a daemon that had already given up the call, because
 * the answer of the settler came too late, so no daemon ever ran it.
 */

import {
  type Call,
  type Effect,
  type FetchResult,
  KeySettler,
  type KeyVerdict,
  answerResponseQuery,
  type Reply,
  ResponseStore,
  type ServeContext,
  settleCall,
  type SettleResult,
} from '@gentiandrum/core';
import { describe, it } from '../support/describe.js';

const kKey = 'derived-key';
const kRoot = 'root';

/** A daemon with its own results; `r`, where the request entered, settles the keys of the chain. */
class ModelDaemon {
  readonly responses = new ResponseStore(10_000);
  /** Number of upcoming answers of the settler that are lost. */
  lostAnswers = 0;
  private _nextId = 1;

  constructor(
    readonly id: string,
    private readonly _settler: KeySettler,
    private readonly _daemons: Map<string, ModelDaemon>,
  ) {
    _daemons.set(id, this);
  }

  /** Settles the key for an onward call that arrives at this daemon. */
  settle(): SettleResult {
    const call = {
      id: `${this.id}-call`,
      cls: { name: 'hold', service: 's', idempotent: false },
      chain: { root: kRoot, rootDaemon: 'r', rootAddress: 'r', rootIncarnation: 1 },
      key: { kind: 'derived', key: kKey },
      bodyDigest: 'body',
      deadline: performance.now() + 60_000,
    } as unknown as Call;
    const ctx = {
      daemon: { id: this.id, incarnation: 1, address: this.id },
      responses: this.responses,
      settler: this._settler,
      newId: () => `n${this._nextId++}`,
      logDecision: () => undefined,
    } as unknown as ServeContext;
    const procedure = settleCall(call, ctx);
    let step = procedure.next();
    while (step.done !== true) {
      step = procedure.next(this._perform(step.value));
    }
    return step.value;
  }

  private _perform(effect: Effect): Reply {
    switch (effect.type) {
      case 'settleKey':
        return this._settleKey(effect);
      case 'fetchAnswer':
        return this._fetchAnswer(effect);
      default:
        throw new Error(`expected a bid or a fetch, got "${effect.type}"`);
    }
  }

  private _settleKey({ bid, root = '' }: Extract<Effect, { type: 'settleKey' }>): KeyVerdict | { kind: 'unreachable' } {
    const verdict = this._settler.settleDerived(root, bid);
    if (this.lostAnswers > 0) {
      this.lostAnswers--;
      return { kind: 'unreachable' };
    }
    return verdict;
  }

  private _fetchAnswer({ address, claimant }: Extract<Effect, { type: 'fetchAnswer' }>): FetchResult {
    const holder = this._daemons.get(address);
    if (!holder || address === this.id) {
      throw new Error(`expected another daemon, got "${address}"`);
    }
    return answerResponseQuery(holder.responses, { key: kKey, body: 'body', claimant }, `${address}/1`);
  }
}

function startDaemons(): { root: ModelDaemon; other: ModelDaemon } {
  const settler = new KeySettler();
  settler.openRoot(kRoot);
  const daemons = new Map<string, ModelDaemon>();
  return { root: new ModelDaemon('r', settler, daemons), other: new ModelDaemon('o', settler, daemons) };
}

/** Bids at a daemon, all of whose answers are lost. */
function bidInVain(daemon: ModelDaemon): SettleResult {
  daemon.lostAnswers = Infinity;
  const result = daemon.settle();
  daemon.lostAnswers = 0;
  return result;
}

describe('a key that was granted to a daemon which has given up the call', () => {
  it('should be granted to the daemon that runs the retry', (t) => {
    const { root, other } = startDaemons();
    const refused = bidInVain(other);
    t.true(refused.kind === 'done' && refused.served.kind === 'error' && refused.served.error === 'settler_unreachable');
    t.is(root.settle().kind, 'run');
  });

  it('should be granted to a retry at the same daemon', (t) => {
    const { other } = startDaemons();
    bidInVain(other);
    t.is(other.settle().kind, 'run');
  });

  it('should not be granted to that daemon again after the retry ran elsewhere', (t) => {
    const { root, other } = startDaemons();
    bidInVain(other);
    t.is(root.settle().kind, 'run');
    root.responses.record(kKey, { kind: 'answer', answer: { status: 200, headers: {}, body: Buffer.alloc(0) } });
    const joined = other.settle();
    t.true(joined.kind === 'done' && joined.served.kind === 'answer');
  });

  it('should be granted to that daemon again if the one that asked for it does not run it', (t) => {
    const { other } = startDaemons();
    bidInVain(other);
    t.is(answerResponseQuery(other.responses, { key: kKey, body: 'body', claimant: 'o/1/n1' }, 'o/1').kind, 'not_run');
    t.is(other.settle().kind, 'run');
  });

  it('should have an unknown outcome at once if that daemon no longer knows of it', (t) => {
    const { other } = startDaemons();
    bidInVain(other);
    other.responses.drop(kKey);
    const result = other.settle();
    t.true(result.kind === 'done' && result.served.kind === 'error' && result.served.error === 'outcome_unknown');
  });
});

describe('a bid', () => {
  it('should be repeated when its answer is lost', (t) => {
    const { other } = startDaemons();
    other.lostAnswers = 1;
    t.is(other.settle().kind, 'run');
  });
});
