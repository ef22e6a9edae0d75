/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Two clients of one machine each send a long body at the same time, within the limits of the configuration. */

import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { kBounds, kMaxBodyBytes, kMemoryMb, now, pause, runCase, Upstream } from '../lib-2/site.mjs';

const kMiB = 2 ** 20;
const kBodyBytes = 52 * kMiB;
const kHarmlessBodyBytes = kMiB;
const kUploads = 2;
/** Clients with a kept connection each, that send one short request after the other, and the duration of a run. */
const kKeptClients = 12;
const kWorkMs = 1_200;
/** Interval between two looks of the platform at the memory of the processes. */
const kLookMs = 4;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (site, trouble) => {
  const { record } = site;
  const bodyBytes = trouble ? kBodyBytes : kHarmlessBodyBytes;
  if (bodyBytes > kMaxBodyBytes) {
    throw new Error('the body is longer than a client may send');
  }
  await site.start([
    { name: 'report', path_prefix: '/report/', kind: 'non_idempotent', timeout_ms: 5_000, max_attempts: 1, service: 'reports' },
    { name: 'file', path_prefix: '/file/', kind: 'non_idempotent', timeout_ms: 5_000, max_attempts: 1, service: 'files' },
  ]);
  const near = await site.add('machine-1', 'zone-1', 'reports');
  const other = await site.add('machine-2', 'zone-2', 'files');
  for (const [machine, instance] of [
    [near, 'i-reports'],
    [other, 'i-files'],
  ]) {
    const upstream = new Upstream(site, machine, instance);
    upstream.work = () => pause(kWorkMs);
    await upstream.start();
  }
  await site.untilReady();

  const ran = new Set();
  site.onRun = (_, id) => {
    ran.add(id);
  };
  // The platform kills a process that exceeds its memory.
  let killedAt = Infinity;
  const peaks = new Map();
  const looking = setInterval(() => {
    for (const machine of [near, other]) {
      const usedMb = site.memoryMb(machine);
      peaks.set(machine.name, Math.max(usedMb, peaks.get(machine.name) ?? 0));
      if (usedMb > kMemoryMb && machine.child.exitCode === null && !machine.child.killed) {
        killedAt = Math.min(killedAt, now());
        record.line(`${machine.name}: the daemon uses ${Math.round(usedMb)} MB of ${kMemoryMb} MB and is killed`);
        machine.child.kill('SIGKILL');
      }
    }
  }, kLookMs);

  let stopped = false;
  const answers = [];
  const clients = Array.from({ length: kKeptClients }, async (_, i) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let kept = false;
    await pause((i * kWorkMs) / kKeptClients);
    while (!stopped) {
      const answer = await site.call(near, '/file/x', { method: 'POST', label: 'kept', agent });
      answers.push({ ...answer, kept });
      kept = answer.status !== 0;
      await pause(answer.status === 0 ? 200 : 5);
    }
    agent.destroy();
  });
  await pause(4_000);
  const usual = answers.slice();
  record.line(`${usual.filter(({ status }) => status === 200).length} of ${usual.length} requests on kept connections were served`);
  if (killedAt < Infinity) {
    throw new Error('a daemon was killed before the uploads');
  }

  const body = Buffer.alloc(bodyBytes, 'x');
  record.line(`machine-1: ${kUploads} clients send a body of ${bodyBytes} bytes each; the limit is ${kMaxBodyBytes}`);
  const uploads = await Promise.all(
    Array.from({ length: kUploads }, () => site.call(near, '/file/upload', { method: 'POST', label: 'upload', body })),
  );
  for (const { id, status, broken, sentAt, endedAt } of uploads) {
    record.line(`${id}: ${status || broken}, ${Math.round(endedAt - sentAt)} ms after it was sent`);
  }
  await pause(kBounds.contact_ms);
  stopped = true;
  await Promise.all(clients);
  clearInterval(looking);

  record.line(`most private memory of a daemon: ${[...peaks].map(([name, mb]) => `${name} ${Math.round(mb)} MB`).join(', ')}`);
  // LOST: passed on to a sound upstream from a kept connection, which was closed without an answer. A process that is killed for its memory
  // ends by itself, so its machine stays in touch.
  const lost = answers.filter(({ id, status, kept }) => kept && status === 0 && ran.has(id));
  for (const { id, broken, endedAt } of lost) {
    record.line(
      `${id}: passed on from a kept connection, ran, and got no answer (${broken}), ${Math.round(endedAt - killedAt)} ms after the kill`,
    );
  }
  record.line(`${lost.length} requests on kept connections ran and got no answer`);
  return lost.length > 3;
});
