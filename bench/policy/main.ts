/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Compares overload policies: `main.js [NAME-FILTER]` runs the scenarios whose name contains the filter. Each run is a separate
 * process, with up to three quarters of the cores in use; the same seed gives the same results.
 */

import { fork } from 'node:child_process';
import { availableParallelism } from 'node:os';
import { fileURLToPath } from 'node:url';
import { kPolicies, type Measures, type PolicyName, runScenario } from './runScenario.js';
import { kScenarios } from './scenarios.js';

const kSeed = 20_261_202;
/** Time limit of one run; a run that exceeds it is reported as not finished. */
const kJobTimeoutMs = 150_000;

interface Job {
  index: number;
  policy: PolicyName;
}

const wanted = process.argv[2];
if (wanted === '--job' && process.send) {
  const job = JSON.parse(process.argv[3] ?? '{}') as Job;
  const scenario = kScenarios[job.index];
  if (scenario) {
    process.send(runScenario(scenario, job.policy, kSeed));
  }
  process.disconnect();
} else {
  await compare(wanted ?? '');
}

/** Runs a job in a separate process; resolves to undefined when it exceeds the time limit. */
function runJob(job: Job): Promise<Measures | undefined> {
  return new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(import.meta.url), ['--job', JSON.stringify(job)]);
    child.once('message', (measures) => {
      resolve(measures as Measures);
    });
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      resolve(undefined);
    }, kJobTimeoutMs);
    child.once('exit', (code) => {
      clearTimeout(timer);
      if (code !== null && code !== 0) {
        reject(new Error(`expected job ${JSON.stringify(job)} to exit with code 0, got ${code}`));
      }
    });
  });
}

async function compare(nameFilter: string): Promise<void> {
  const jobs = kScenarios.flatMap((scenario, index) =>
    `${scenario.deployment.name}/${scenario.name}`.includes(nameFilter) ? kPolicies.map((policy) => ({ index, policy })) : [],
  );
  const results = new Map<Job, Measures | undefined>();
  const queue = [...jobs].reverse();
  const worker = async (): Promise<void> => {
    for (let job = queue.pop(); job; job = queue.pop()) {
      const measures = await runJob(job);
      results.set(job, measures);
      process.stderr.write(
        `${JSON.stringify({ scenario: nameOf(job.index), policy: job.policy, ...(measures ?? { finished: false }) })}\n`,
      );
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, Math.floor(availableParallelism() * 0.75)) }, worker));
  print(jobs, results);
}

function nameOf(index: number): string {
  const scenario = kScenarios[index];
  return scenario ? `${scenario.deployment.name}/${scenario.name}` : '';
}

function print(jobs: Job[], results: Map<Job, Measures | undefined>): void {
  const all: Record<string, Record<string, Measures | undefined>> = {};
  kScenarios.forEach((scenario, index) => {
    const ofScenario = jobs.filter((job) => job.index === index);
    if (ofScenario.length > 0) {
      const name = nameOf(index);
      all[name] = Object.fromEntries(ofScenario.map((job) => [job.policy, results.get(job)]));
      console.log(name);
      console.table(all[name]);
    }
  });
  console.log(JSON.stringify({ seed: kSeed, scenarios: all }));
}
