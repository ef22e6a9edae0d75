/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Offers that cross the end of a daemon that stops as planned.
 *
 * Daemons keep connections to each other. A sender that gets no processor time for a second or two holds a call that it has placed with
 * a target, and has not written yet. Meanwhile the daemon there stops as planned, answers all that it took, and closes its connections.
 * The sender goes on, writes, and finds the connection closed: "other side closed". Nothing told it whether the offer was taken, so the
 * call ended as `attempt_lost`, 502, after one offer, though no daemon had ever seen it.
 *
 * The lines that showed it: a1 logged "route to b2-target" 3 ms before it stood still, b2 "Nothing was cut." 0.8 s later and never a
 * line of that request, a1 the error 25 ms after it went on. Four of five trials lost a hold like this.
 *
 * Two promises keep it from happening. Who leaves tells each daemon that keeps a connection for offers, and waits a while until those
 * have let go of it. And its last record names the offers whose senders may not know their ends: whoever lost an offer that it doesn't
 * name knows that it was never taken.
 */

import { Agent, request } from 'undici';
import { describe, itAlone } from '../support/describe.js';
import { exitOf, Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kCallers = 24;
/** Calls that are answered between two stops. */
const kAnsweredBetween = 100;
/** Time after the last work of a daemon that stops, at which it has closed what it does not wait for, in milliseconds. */
const kAfterLastWorkMs = 1_000;
/** Daemons of `beta` that stop in turn, and daemons without a target, which make it unlikely that a ping finds a leaver gone first. */
const kLeavers = ['b2', 'b3', 'b4'];
const kOthers = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** Callers that file one hold after another through one daemon, and note each end that may have run. */
class Holders {
  answered = 0;
  readonly lost: string[] = [];
  private _on = true;
  private readonly _running: Promise<void>[];

  constructor(
    private readonly _address: string,
    private readonly _dispatcher: Agent,
  ) {
    this._running = Array.from({ length: kCallers }, () => this._loop());
  }

  async stop(): Promise<void> {
    this._on = false;
    await Promise.all(this._running);
  }

  private async _loop(): Promise<void> {
    while (this._on) {
      const res = await request(`http://${this._address}/beta/holds`, { dispatcher: this._dispatcher, method: 'POST' });
      const text = await res.body.text();
      if (res.statusCode === 200) {
        this.answered++;
      } else if (res.headers['gentiandrum-outcome'] !== 'not_run') {
        this.lost.push(text);
      }
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe('a daemon that stops as planned', () => {
  itAlone('should cost no call of a sender that stood still until it was gone', async (t) => {
    const fleet = await Fleet.start([
      { id: 'a1', zone: 'east', service: 'alpha' },
      ...['b1', ...kLeavers].map((id) => ({ id, zone: 'east', service: 'beta', behaviour: { workMs: 5 } })),
      ...kOthers.map((id) => ({ id, zone: 'east' })),
    ]);
    const callers = new Agent({ connections: kCallers });
    try {
      await fleet.client(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
      await fleet.untilTargets('beta', 1 + kLeavers.length);
      const a1 = fleet.host('a1');
      const holders = new Holders(a1.address, callers);
      for (const id of kLeavers) {
        const { answered } = holders;
        await until('calls run', () => Promise.resolve(holders.answered > answered + kAnsweredBetween));
        a1.daemon.kill('SIGSTOP');
        const leaver = fleet.host(id).daemon;
        leaver.kill('SIGTERM');
        t.is(await exitOf(leaver), 0);
        a1.daemon.kill('SIGCONT');
      }
      await holders.stop();
      t.deepEqual(holders.lost, [], a1.logs.filter((line) => line.includes('"lost"')).join('\n'));
    } finally {
      fleet.stop();
      await callers.destroy();
    }
  });

  itAlone('should answer offers as long as their sender keeps the connection, for a while', async (t) => {
    const fleet = await Fleet.start([{ id: 'b2', zone: 'east', service: 'beta' }]);
    const sender = new Agent({ connections: 1, keepAliveTimeout: 60_000 });
    const offer = async (): Promise<string> => {
      const res = await request(`http://${fleet.host('b2').address}/-/offer`, {
        dispatcher: sender,
        method: 'POST',
        headers: { 'gentiandrum-offer': JSON.stringify(offerOf('x1')) },
      });
      return res.headers['gentiandrum-verdict'] as string;
    };
    try {
      await fleet.client(['apply', 'FILE', '--base', '0', '--wait'], kSampleConfig);
      await fleet.untilTargets('beta', 1);
      const b2 = fleet.host('b2');
      t.regex(await offer(), /"kind":"(answered|refused)"/);
      b2.daemon.kill('SIGTERM');
      await until('the last work of b2 to end', () => Promise.resolve(b2.logs.some((line) => line.includes('Nothing was cut.'))));
      await pause(kAfterLastWorkMs);
      t.regex(await offer(), /"kind":"refused","retriedBelow":false,"reason":"stopping"/);
      t.is(await exitOf(b2.daemon), 0);
    } finally {
      fleet.stop();
      await sender.destroy();
    }
  });
});

let attempts = 0;

/** What a daemon sends with an offer. */
function offerOf(from: string): object {
  const attempt = `${from}~attempt~${++attempts}`;
  const root = { root: attempt, request: attempt, rootDaemon: from, rootAddress: '127.0.0.1:1', rootIncarnation: 1 };
  const call = { service: 'beta', target: 'b2-target', className: 'beta-hold', importance: 1, cohort: 0, depth: 0, path: '' };
  const terms = { attempt, ...root, ...call, allowance: 0, remainingMs: 1_000, idempotent: false, repeatable: false };
  return { terms, method: 'POST', path: '/holds', headers: {}, from };
}
