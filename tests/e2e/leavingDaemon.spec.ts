/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Graceful shutdown of a daemon to which other daemons keep connections. Guards against `attempt_lost` for an offer that a paused sender
 * writes to a connection that the stopped daemon has closed, and against a stop that waits for unused connections.
 */

import { once } from 'node:events';
import { connect } from 'node:net';
import { Agent, request } from 'undici';
import { describe, itSerial } from '../support/describe.js';
import { exitOf, Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

const kCallers = 24;
/** Number of responses to wait for before each stop. */
const kResponsesBetweenStops = 100;
/** Daemons of `beta` that stop in turn. */
const kStoppedDaemons = ['b2', 'b3', 'b4'];
/** Daemons without a target; they make it unlikely that a ping detects a stopped daemon before an offer does. */
const kOtherDaemons = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** With a deadline longer than the pause of the sender, because a call that times out proves nothing about its offer. */
const kLongDeadlineConfig = {
  ...kSampleConfig,
  classes: { ...kSampleConfig.classes, 'beta-hold': { ...kSampleConfig.classes['beta-hold'], deadlineMs: 60_000 } },
};

/** Callers that place holds through one daemon, and record each failure whose request may have run. */
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

describe('a daemon that shuts down gracefully', () => {
  itSerial('should lose no call of a sender that was paused during the stop', async (t) => {
    const fleet = await Fleet.start([
      { id: 'a1', zone: 'east', service: 'alpha' },
      ...['b1', ...kStoppedDaemons].map((id) => ({ id, zone: 'east', service: 'beta', behaviour: { workMs: 5 } })),
      ...kOtherDaemons.map((id) => ({ id, zone: 'east' })),
    ]);
    const agent = new Agent({ connections: kCallers });
    try {
      await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], kLongDeadlineConfig);
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
      t.deepEqual(callers.lost, [], fleet.logLinesFor(callers.lost));
    } finally {
      fleet.stop();
      await agent.destroy();
    }
  });

  // Clients may open connections ahead of their requests. The close of the HTTP server waits for such a connection as for a request.
  itSerial('should exit although a connection was opened and never used', async (t) => {
    const fleet = await Fleet.start([{ id: 'b2', zone: 'east', service: 'beta' }]);
    const { daemon, address } = fleet.host('b2');
    const [host = '', port = ''] = address.split(':');
    const unused = connect(Number(port), host);
    try {
      await once(unused, 'connect');
      t.true((await fetch(`http://${address}/-/status`)).ok);
      daemon.kill('SIGTERM');
      await until('the daemon exits', () => Promise.resolve(daemon.exitCode !== null));
      t.is(daemon.exitCode, 0);
    } finally {
      unused.destroy();
      fleet.stop();
    }
  });
});
