/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Guards against lost, repeated or wrongly reported calls when targets, daemons or the log fail, with real processes. */

import test from 'ava';
import { describe, itSerial } from '../support/describe.js';
import { Fleet, until } from '../support/fleet.js';
import { kSampleConfig } from '../support/sampleConfig.js';

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start([
    { id: 'a1', zone: 'east', service: 'alpha' },
    { id: 'b1', zone: 'east', service: 'beta' },
    { id: 'b2', zone: 'west', service: 'beta' },
  ]);
  await fleet.runCli(['apply', 'FILE', '--base', '0', '--wait'], {
    ...kSampleConfig,
    classes: {
      ...kSampleConfig.classes,
      'beta-competing': { service: 'beta', methods: ['GET'], path: '/competing/**', idempotent: true, retries: 2, attemptTimeoutMs: 100 },
    },
  });
  await Promise.all([fleet.untilTargets('beta', 2), fleet.untilTargets('alpha', 1)]);
});

test.after.always(() => {
  fleet.stop();
});

const kDefaultBehaviour = { workMs: 1, failures: 0, truncate: 0, drop: 0, slots: 50, accepting: true };

test.beforeEach(async () => {
  await fleet.setLogFaults({});
  await Promise.all(['a1', 'b1', 'b2'].map((id) => fleet.setBehaviour(id, kDefaultBehaviour)));
});

interface CallResult {
  status: number;
  outcome: string | null;
  retryAfter: string | null;
  kind: string | undefined;
  body: string;
}

async function send(host: string, path: string, call: string, init: RequestInit = {}): Promise<CallResult> {
  const res = await fetch(`http://${fleet.host(host).address}${path}`, {
    ...init,
    headers: { 'x-call': call, ...(init.headers as Record<string, string> | undefined) },
  });
  const body = await res.text();
  const problem = res.headers.get('content-type')?.includes('problem') === true ? (JSON.parse(body) as { kind: string }) : undefined;
  return {
    status: res.status,
    outcome: res.headers.get('gentiandrum-outcome'),
    retryAfter: res.headers.get('retry-after'),
    kind: problem?.kind,
    body,
  };
}

/** The body of a response and the daemons' log lines about its request, for failure messages. */
function explain({ body }: CallResult): string {
  return [body, fleet.logLinesFor([body])].join('\n');
}

function hold(key: string): RequestInit {
  return { method: 'POST', body: key, headers: { 'idempotency-key': key } };
}

describe('a target', () => {
  itSerial('should be skipped when it sheds, and requests should be refused as not_run when all targets shed', async (t) => {
    await fleet.setBehaviour('b1', { slots: 0 });
    t.is((await send('a1', '/beta/x', 'shed-one')).status, 200);
    await fleet.setBehaviour('b2', { slots: 0 });
    const refused = await send('a1', '/beta/holds', 'shed-all', { method: 'POST' });
    t.deepEqual([refused.kind, refused.outcome], ['target_shed', 'not_run']);
    t.truthy(refused.retryAfter);
    t.is(await fleet.totalRuns('shed-all'), 0);
  });

  itSerial('should have a truncated response retried for a read, and reported as unknown for a hold', async (t) => {
    await Promise.all(['b1', 'b2'].map((id) => fleet.setBehaviour(id, { truncate: 1 })));
    const truncated = await send('a1', '/beta/holds', 'cut-hold', { method: 'POST' });
    t.deepEqual([truncated.kind, truncated.outcome], ['answer_truncated', 'unknown']);
    t.is(await fleet.totalRuns('cut-hold'), 1);
    const read = await send('a1', '/beta/x', 'cut-read');
    t.is(read.status, 200, explain(read));
  });

  itSerial('should have its late complete response used when the competing attempt fails', async (t) => {
    await Promise.all(['b1', 'b2'].map((id) => fleet.setBehaviour(id, { workMs: 400 })));
    const pending = send('a1', '/beta/competing/x', 'late');
    await until('both attempts run', async () => (await fleet.totalRuns('late')) === 2);
    const second = (await fleet.runsOf('b1')).late === undefined ? 'b1' : 'b2';
    await fleet.setBehaviour(second, { drop: 1 });
    t.is((await pending).status, 200);
  });

  itSerial('should be notified when the caller disconnects', async (t) => {
    await Promise.all(['b1', 'b2'].map((id) => fleet.setBehaviour(id, { workMs: 500 })));
    const aborter = new AbortController();
    const pending = send('a1', '/beta/x', 'hung-up', { signal: aborter.signal });
    await until('the call runs', async () => (await fleet.totalRuns('hung-up')) === 1);
    aborter.abort();
    await t.throwsAsync(pending, { any: true });
    const cancelled = async (id: string): Promise<number> => {
      const res = await fetch(`${fleet.host(id).targetUrl}/-/counts`);
      return ((await res.json()) as { cancelled: number }).cancelled;
    };
    await until('a target is notified', async () => (await cancelled('b1')) + (await cancelled('b2')) === 1);
    t.pass();
  });

  itSerial('should receive no requests while it is not accepting, and be serving again afterwards', async (t) => {
    await fleet.setBehaviour('b1', { accepting: false });
    await until('a1 knows that b1 is draining', async () =>
      (await fleet.status('a1')).members.some((m) => m.id === 'b1' && m.targetState === 'leaving'),
    );
    for (let i = 0; i < 20; i++) {
      t.is((await send('a1', '/beta/x', 'leaving')).status, 200);
    }
    t.is((await fleet.runsOf('b1')).leaving, undefined);
    await fleet.setBehaviour('b1', { accepting: true });
    await fleet.untilTargets('beta', 2);
  });
});

describe("the platform's log", () => {
  itSerial('should cause neither an error nor a second run when the reply to a claim is lost', async (t) => {
    await fleet.setLogFaults({ loseReplies: 1 });
    t.is((await send('b1', '/beta/holds', 'lost-claim', hold('lost-claim'))).status, 200);
    t.is((await send('b2', '/beta/holds', 'lost-claim', hold('lost-claim'))).status, 200);
    t.is(await fleet.totalRuns('lost-claim'), 1);
  });

  itSerial('should not affect reads while it does not respond; holds are rejected as not_run', async (t) => {
    await fleet.setLogFaults({ silent: true });
    const [refused, read] = await Promise.all([send('a1', '/beta/holds', 'silent', hold('silent')), send('a1', '/beta/x', 'silent-read')]);
    t.deepEqual([refused.kind, refused.outcome], ['log_unavailable', 'not_run']);
    t.is(read.status, 200);
    await fleet.setLogFaults({});
    await Promise.all(['a1', 'b2', 'a1'].map((id) => send(id, '/beta/holds', 'silent', hold('silent'))));
    t.true((await fleet.totalRuns('silent')) <= 1);
  });

  itSerial('should have a patch applied exactly once when the reply to its append is lost', async (t) => {
    const { version } = await fleet.status('a1');
    await fleet.setLogFaults({ loseReplies: 1 });
    const applied = await fleet.runCli(['apply', 'FILE', '--base', String(version), '--wait'], { retryRatio: 0.11 });
    t.is(applied.code, 0, applied.err);
    t.is((await fleet.status('b2')).version, version + 1);
  });

  itSerial('should have a patch rejected while it is down, and not applied later', async (t) => {
    const { version } = await fleet.status('a1');
    await fleet.setLogFaults({ down: true });
    const refused = await fleet.runCli(['apply', 'FILE', '--base', String(version)], { retryRatio: 0.12 });
    t.is(refused.code, 4);
    await fleet.setLogFaults({});
    t.is((await fleet.status('a1')).version, version);
  });
});

describe('a daemon', () => {
  itSerial('should not run a hold twice after being paused past every deadline', async (t) => {
    const paused = fleet.host('b1').daemon;
    const pending = send('b1', '/beta/holds', 'paused', { ...hold('paused'), signal: AbortSignal.timeout(15_000) }).catch(() => undefined);
    paused.kill('SIGSTOP');
    const elsewhere = await send('b2', '/beta/holds', 'paused', hold('paused'));
    await new Promise((resolve) => setTimeout(resolve, 6_000));
    paused.kill('SIGCONT');
    await pending;
    await fleet.untilTargets('beta', 2);
    const again = await send('b1', '/beta/holds', 'paused', hold('paused'));
    t.log(`elsewhere ${elsewhere.status}, again ${again.status}`);
    t.true((await fleet.totalRuns('paused')) <= 1);
  });

  itSerial('should cause at most a retry of a read and an unknown outcome of a hold when it is killed', async (t) => {
    await Promise.all(['b1', 'b2'].map((id) => fleet.setBehaviour(id, { workMs: 300 })));
    const reads = Array.from({ length: 6 }, (_, i) => send('a1', '/beta/x', `killed-read-${i}`));
    const holds = Array.from({ length: 6 }, (_, i) => send('a1', '/beta/holds', `killed-hold-${i}`, { method: 'POST' }));
    await until('calls run at b2', async () => Object.keys(await fleet.runsOf('b2')).some((call) => call.startsWith('killed')));
    fleet.host('b2').daemon.kill('SIGKILL');
    const [readResults, holdResults] = await Promise.all([Promise.all(reads), Promise.all(holds)]);
    t.deepEqual([...new Set(readResults.map(({ status }) => status))], [200]);
    for (const [i, result] of holdResults.entries()) {
      const runs = await fleet.totalRuns(`killed-hold-${i}`);
      t.true(runs <= 1);
      t.true(
        result.status === 200 || result.outcome === 'unknown' || runs === 0,
        `${result.status} ${result.outcome ?? ''} after ${runs} runs`,
      );
    }
  });

  itSerial('should get configuration and members from its peers when it starts while the log is down', async (t) => {
    const { version } = await fleet.status('a1');
    await fleet.setLogFaults({ down: true });
    await fleet.startHost({ id: 'b2', zone: 'west', service: 'beta' }, {}, fleet.host('b2').address);
    await until('b2 has the version', async () => (await fleet.status('b2')).version === version);
    await fleet.untilTargets('beta', 2);
    t.is((await send('b2', '/alpha/x', 'cold')).status, 200);
  });
});
