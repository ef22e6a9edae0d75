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
 * Two promises keep it from happening. Who leaves asks each daemon that keeps a connection for offers, and waits a while until it says
 * that it has none open and sends none any more. And its last record names the offers whose senders have not said so and may not know
 * their ends: whoever lost an offer that it doesn't name knows that it was never taken.
 */

import { once } from 'node:events';
import { connect } from 'node:net';
import { Agent, request } from 'undici';
import { describe, itAlone } from '../support/describe.js';
import { exitOf, Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kCallers = 24;
/** Calls that are answered between two stops. */
const kResponsesBetweenStops = 100;
/** Daemons of `beta` that stop in turn, and daemons without a target, which make it unlikely that a ping finds a leaver gone first. */
const kStoppedDaemons = ['b2', 'b3', 'b4'];
const kOtherDaemons = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** Holds may take as long as the sender stands still: what ends at its deadline says nothing of the offer. */
const kLongDeadlineConfig = {
  ...kSampleConfig,
  classes: { ...kSampleConfig.classes, 'beta-hold': { ...kSampleConfig.classes['beta-hold'], deadlineMs: 60_000 } },
};

/** Callers that file one hold after another through one daemon, and note each end that may have run. */
class HoldCallers {
  answered = 0;
  readonly lost: string[] = [];
  private _active = true;
  private readonly _loops: Promise<void>[];

  constructor(
    private readonly _address: string,
    private readonly _dispatcher: Agent,
  ) {
    this._loops = Array.from({ length: kCallers }, () => this._loop());
  }

  async stop(): Promise<void> {
    this._active = false;
    await Promise.all(this._loops);
  }

  private async _loop(): Promise<void> {
    while (this._active) {
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

describe('a daemon that stops as planned', () => {
  itAlone('should cost no call of a sender that stood still until it was gone', async (t) => {
    const fleet = await Fleet.start([
      { id: 'a1', zone: 'east', service: 'alpha' },
      ...['b1', ...kStoppedDaemons].map((id) => ({ id, zone: 'east', service: 'beta', behaviour: { workMs: 5 } })),
      ...kOtherDaemons.map((id) => ({ id, zone: 'east' })),
    ]);
    const agent = new Agent({ connections: kCallers });
    try {
      await fleet.client(['apply', 'FILE', '--base', '0', '--wait'], kLongDeadlineConfig);
      await fleet.untilTargets('beta', 1 + kStoppedDaemons.length);
      const a1 = fleet.host('a1');
      const callers = new HoldCallers(a1.address, agent);
      for (const id of kStoppedDaemons) {
        const { answered } = callers;
        await until('calls run', () => Promise.resolve(callers.answered > answered + kResponsesBetweenStops));
        a1.daemon.kill('SIGSTOP');
        const stoppedDaemon = fleet.host(id).daemon;
        stoppedDaemon.kill('SIGTERM');
        t.is(await exitOf(stoppedDaemon), 0);
        a1.daemon.kill('SIGCONT');
      }
      await callers.stop();
      t.deepEqual(callers.lost, [], fleet.linesAbout(callers.lost));
    } finally {
      fleet.stop();
      await agent.destroy();
    }
  });

  // Callers open connections ahead of their requests, and a sender that stands still may have one without an offer. The server's close
  // waits for such a connection as for a request: a daemon with one was still there 20 s after SIGTERM, without a line.
  itAlone('should end although a connection was opened and never used', async (t) => {
    const fleet = await Fleet.start([{ id: 'b2', zone: 'east', service: 'beta' }]);
    const { daemon, address } = fleet.host('b2');
    const [host = '', port = ''] = address.split(':');
    const unused = connect(Number(port), host);
    try {
      await once(unused, 'connect');
      t.true((await fetch(`http://${address}/-/status`)).ok);
      daemon.kill('SIGTERM');
      await until('the daemon ends', () => Promise.resolve(daemon.exitCode !== null));
      t.is(daemon.exitCode, 0);
    } finally {
      unused.destroy();
      fleet.stop();
    }
  });
});
