/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A daemon is stopped; a call that the upstream beside it makes meanwhile takes longer than its route usually does. */

import { fileURLToPath } from 'node:url';
import { kBounds, now, pause, runCase, Upstream } from '../lib-2/site.mjs';

/** Usual duration of a run on the called route, and that of the runs in question. */
const kUsualMs = 20;
const kLongMs = 2_600;
/** When the requests are sent after the SIGTERM: later than 3 s, so that work in the last sixth of the grace period is no excuse. */
const kSentAfterMs = 3_300;
/** Time limit of the requests, and timeout of their route. */
const kLimitMs = 5_000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (site, trouble) => {
  const { record } = site;
  await site.start([
    { name: 'report', path_prefix: '/report/', kind: 'non_idempotent', timeout_ms: 10_000, max_attempts: 1, service: 'reports' },
    { name: 'file', path_prefix: '/file/', kind: 'non_idempotent', timeout_ms: kLimitMs, max_attempts: 1, service: 'files' },
  ]);
  const stopped = await site.add('machine-1', 'zone-1', 'reports');
  const other = await site.add('machine-2', 'zone-2', 'files');
  const reports = new Upstream(site, stopped, 'i-reports');
  const files = new Upstream(site, other, 'i-files');
  await reports.start();
  await files.start();
  await site.untilReady();
  const file = (label) => site.call(stopped, '/file/x', { method: 'POST', limitMs: kLimitMs, label });
  const report = (label) => site.call(other, '/report/x', { method: 'POST', limitMs: 9_000, label });

  let parentStarted = () => undefined;
  const parentRuns = new Promise((resolve) => {
    parentStarted = resolve;
  });
  let termAt = Infinity;
  let called;
  reports.work = async (id) => {
    if (!id.startsWith('parent')) {
      return pause(kUsualMs);
    }
    record.line(`${id} runs at ${reports.instance}`);
    parentStarted();
    while (now() < termAt + kSentAfterMs) {
      await pause(10);
    }
    record.line(`${id} makes a call`);
    called = await file('call');
  };
  /** The runs in question by request: when each started and ended. */
  const runs = new Map();
  files.work = async (id) => {
    if (id.startsWith('r-')) {
      return pause(kUsualMs);
    }
    const run = { startedAt: now(), endedAt: Infinity };
    runs.set(id, run);
    record.line(`${id} runs at ${files.instance}, for ${kLongMs} ms`);
    await pause(kLongMs);
    run.endedAt = now();
    record.line(`${id} has run at ${files.instance}`);
  };

  let served = 0;
  for (let i = 0; i < 80; i++) {
    for (const { status } of await Promise.all([file('r'), report('r')])) {
      served += status === 200 ? 1 : 0;
    }
  }
  record.line(`${served} of 160 requests of the usual work were served, of about ${kUsualMs} ms each`);
  if (served < 150) {
    throw new Error('the usual work is not served');
  }
  const parent = report('parent');
  await parentRuns;
  termAt = now();
  if (trouble) {
    record.line('machine-1: SIGTERM');
    stopped.child.kill('SIGTERM');
  }
  await pause(kSentAfterMs);
  const ofClient = await file('client');
  const parentAnswer = await parent;
  record.line(`${parentAnswer.id}: status ${parentAnswer.status || `none (${parentAnswer.broken})`}`);
  await pause(kLongMs);

  let broken = 0;
  for (const { id, sentAt, endedAt, status, headers = {}, broken: reason } of [ofClient, called]) {
    const sent = Math.round(sentAt - termAt);
    const ended = Math.round(endedAt - termAt);
    const end = status === 0 || reason ? `no complete answer (${reason})` : `status ${status}`;
    const seal = headers['x-response-seal'] ? 'sealed by the upstream' : 'of the daemon itself';
    record.line(`${id}: sent ${sent} ms after the SIGTERM, ended ${ended} ms after it: ${end}, ${seal}`);
    // LOST: passed on to an upstream, within `grace_s` + 1 s of the SIGTERM, before the time limit and the timeout of the route; no
    // complete answer, or one of the daemon itself while the upstream was at work.
    const run = runs.get(id);
    const atWork = run !== undefined && run.startedAt < endedAt && endedAt < run.endedAt;
    const planned = ended < (kBounds.grace_s + 1) * 1_000 && endedAt - sentAt < kLimitMs && sent > 3_000;
    const unanswered = status === 0 || reason !== undefined || headers['x-response-seal'] === undefined;
    broken += atWork && planned && unanswered ? 1 : 0;
  }
  record.line(`${broken} of 2 requests were broken off at work`);
  return broken > 0;
});
