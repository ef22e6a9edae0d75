/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Runs a small deployment of real processes on the loopback interface: a configuration change, calls through a chain of three
 * services, a log outage, a surge, a drain and a planned stop. Checks the guarantees of the layer, and exits with 0 only if all
 * checks pass.
 */

import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'yaml';
import { exitOf, Fleet } from '../tests/support/fleet.js';

const kZones = ['bayanzurkh', 'khan-uul', 'songino'];
const kConfig = fileURLToPath(new URL('../../examples/demo.yaml', import.meta.url));
const kSurgeLoad = { calls: 600, concurrency: 120 };
const kHoldRequests = 20;
const kStopCalls = 24;

interface CheckResult {
  guarantee: string;
  passed: boolean;
  detail: string;
}

interface CallResponse {
  status: number;
  outcome: string | null;
  text: string;
  retryAfter: string | null;
}

/** Runs the steps of the demo and collects the results of its checks. */
class Demo {
  private readonly _results: CheckResult[] = [];
  private _calls = 0;

  constructor(private readonly _fleet: Fleet) {}

  async run(): Promise<boolean> {
    await this._configure();
    await this._callChains();
    await this._placeHolds();
    await this._breakLog();
    await this._overload();
    await this._drainTarget();
    await this._stopDaemon();
    print('\nGuarantees checked:');
    for (const { guarantee, passed, detail } of this._results) {
      print(`  ${passed ? 'passed' : 'FAILED'}  ${guarantee}: ${detail}`);
    }
    return this._results.every(({ passed }) => passed);
  }

  private async _configure(): Promise<void> {
    print('Submitting the configuration against version 0, then a conflicting patch against the same version.');
    const first = await this._fleet.runCli(
      ['apply', 'FILE', '--base', '0', '--wait', '--author', 'dispatcher'],
      parse(readFileSync(kConfig, 'utf8')),
    );
    print(indent(first.out + first.err));
    const second = await this._fleet.runCli(['apply', 'FILE', '--base', '0', '--author', 'other'], { retryRatio: 0.2 });
    print(indent(second.out + second.err));
    this._recordCheck(
      'an accepted configuration takes effect on every daemon, and only one of two patches against the same version wins',
      first.code === 0 && second.code === 3,
      first.out.split('\n')[0] ?? '',
    );
    await Promise.all([
      this._fleet.untilTargets('archive', 3),
      this._fleet.untilTargets('defects', 3),
      this._fleet.untilTargets('hazards', 3),
    ]);
    print(indent((await this._fleet.runCli(['status'])).out));
  }

  private async _callChains(): Promise<void> {
    print('Calling three classes; a span history is a chain of calls to archive, defects and hazards.');
    const history = await this._call('GET', '/archive/spans/7/history', 'span');
    const lookup = await this._call('GET', '/hazards/lookup/7', 'lookup');
    const report = await this._call('GET', '/archive/reports/7', 'report');
    print(indent([history, lookup, report].map(({ status, text }) => `${status} ${text}`).join('\n')));
    const complete =
      history.text === 'archive GET /spans/7/history' &&
      lookup.text === 'hazards GET /lookup/7' &&
      report.text === 'archive GET /reports/7';
    this._recordCheck('each caller receives the complete response to its own request', complete, 'one response for each of three classes');
    this._recordCheck(
      'each call of a chain runs once when nothing fails',
      (await this._fleet.totalRuns('span')) === 3,
      '3 runs of 3 calls',
    );
  }

  private async _placeHolds(): Promise<void> {
    print(`Placing ${kHoldRequests} outage holds, each sent to three daemons concurrently.`);
    const responses = await Promise.all(
      Array.from({ length: kHoldRequests }, (_, i) =>
        Promise.all(
          [0, 1, 2].map((daemon) => this._call('POST', '/defects/holds', `hold-${i}`, daemon, { 'idempotency-key': `hold-${i}` })),
        ),
      ),
    );
    const runs = await Promise.all(Array.from({ length: kHoldRequests }, (_, i) => this._runsAtDefects(`hold-${i}`)));
    const answered = responses.flat().filter(({ status }) => status === 200).length;
    this._recordCheck(
      'a non-idempotent hold runs at most once',
      runs.every((count) => count === 1),
      `${answered} of ${kHoldRequests * 3} answered, ${runs.reduce((a, b) => a + b, 0)} runs`,
    );
  }

  private async _breakLog(): Promise<void> {
    print('Sending a hold and a read during an outage of the log.');
    await this._fleet.setLogFaults({ down: true });
    const hold = await this._call('POST', '/defects/holds', 'hold-down', 0, { 'idempotency-key': 'hold-down' });
    const read = await this._call('GET', '/hazards/lookup/8', 'lookup-down');
    await this._fleet.setLogFaults({});
    const runs = await this._runsAtDefects('hold-down');
    this._recordCheck(
      'a request with outcome not_run did not run',
      hold.outcome === 'not_run' && runs === 0,
      `hold got status ${hold.status} ${hold.outcome ?? ''}, retry after ${hold.retryAfter ?? '?'} s, ${runs} runs`,
    );
    this._recordCheck('a log outage does not affect reads', read.status === 200, `read got status ${read.status}`);
  }

  private async _overload(): Promise<void> {
    print(`Surge: ${kSurgeLoad.calls} calls, ${kSurgeLoad.concurrency} concurrently; one in six is a hazard lookup.`);
    const counts = { lookup: { good: 0, all: 0 }, report: { good: 0, all: 0 } };
    const sendSequentially = async (start: number): Promise<void> => {
      for (let i = start; i < kSurgeLoad.calls; i += kSurgeLoad.concurrency) {
        const kind = i % 6 === 0 ? 'lookup' : 'report';
        const { status } = await this._call('GET', kind === 'lookup' ? `/hazards/lookup/${i}` : `/archive/reports/${i}`, 'surge', i % 9);
        counts[kind].all++;
        counts[kind].good += status === 200 ? 1 : 0;
      }
    };
    await Promise.all(Array.from({ length: kSurgeLoad.concurrency }, (_, i) => sendSequentially(i)));
    const { lookup, report } = counts;
    this._recordCheck(
      'hazard lookups are shed last',
      lookup.good / lookup.all >= report.good / report.all,
      `${lookup.good} of ${lookup.all} lookups, ${report.good} of ${report.all} reports answered`,
    );
  }

  private async _drainTarget(): Promise<void> {
    print('Draining one target of hazards.');
    const drained = await this._fleet.runCli(['drain', 'hazards-1-target', '--wait']);
    const before = Object.values(await this._fleet.runsOf('hazards-1')).reduce((a, b) => a + b, 0);
    const responses = await Promise.all(Array.from({ length: 60 }, (_, i) => this._call('GET', `/hazards/lookup/${i}`, 'drain', i % 9)));
    const after = Object.values(await this._fleet.runsOf('hazards-1')).reduce((a, b) => a + b, 0);
    const good = responses.filter(({ status }) => status === 200).length;
    this._recordCheck(
      'a draining target receives no new calls',
      drained.code === 0 && after === before && good === 60,
      `${good} of 60 answered by other targets, ${after - before} by the draining target`,
    );
  }

  private async _stopDaemon(): Promise<void> {
    await this._fleet.runCli(['drain', 'hazards-1-target', '--undo', '--wait']);
    print('Stopping one daemon of archive with SIGTERM under load.');
    const pendingCalls = Array.from({ length: kStopCalls }, (_, i) =>
      this._call('GET', `/archive/spans/${i}/history`, 'stop', 3 + (i % 6)),
    );
    const host = this._fleet.host('archive-1');
    host.daemon.kill('SIGTERM');
    const [code, responses] = await Promise.all([exitOf(host.daemon), Promise.all(pendingCalls)]);
    const good = responses.filter(({ status }) => status === 200).length;
    this._recordCheck(
      'calls in flight complete during a planned stop',
      code === 0 && good === kStopCalls,
      `exit code ${code}, ${good} of ${kStopCalls} answered`,
    );
  }

  /** Sends a call through one of the daemons; the first segment of the path is the service. */
  private async _call(
    method: string,
    path: string,
    tag: string,
    daemon = this._calls++ % 9,
    headers: Record<string, string> = {},
  ): Promise<CallResponse> {
    const host = [...this._fleet.hosts.values()][daemon];
    const res = await fetch(`http://${host?.address ?? ''}${path}`, { method, headers: { 'x-call': tag, ...headers } });
    const { status } = res;
    return { status, outcome: res.headers.get('gentiandrum-outcome'), retryAfter: res.headers.get('retry-after'), text: await res.text() };
  }

  /** Counts the runs of a call at the targets of defects only, as its downstream call to hazards has the same tag. */
  private async _runsAtDefects(call: string): Promise<number> {
    const counts = await Promise.all([1, 2, 3].map(async (i) => (await this._fleet.runsOf(`defects-${i}`))[call] ?? 0));
    return counts.reduce((a, b) => a + b, 0);
  }

  private _recordCheck(guarantee: string, passed: boolean, detail: string): void {
    this._results.push({ guarantee, passed, detail });
  }
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function indent(text: string): string {
  return text
    .trimEnd()
    .split('\n')
    .map((line) => `  ${line}`)
    .join('\n');
}

function hostPlans(): Parameters<typeof Fleet.start>[0] {
  const onward = (service: string, path: string): { onward: { service: string; method: string; path: string }[] } => ({
    onward: [{ service, method: 'GET', path }],
  });
  const hosts = (service: string, behaviour: object): Parameters<typeof Fleet.start>[0] =>
    kZones.map((zone, i) => ({ id: `${service}-${i + 1}`, zone, service, behaviour }));
  return [
    ...hosts('archive', { workMs: 5, slots: 30, ...onward('defects', '/of-span') }),
    ...hosts('defects', { workMs: 5, slots: 30, ...onward('hazards', '/near') }),
    ...hosts('hazards', { workMs: 10, slots: 4 }),
  ];
}

print('Starting the log stand-in and nine hosts in three availability zones.');
const fleet = await Fleet.start(hostPlans());
let passed = false;
try {
  passed = await new Demo(fleet).run();
} finally {
  fleet.stop();
}
print(passed ? '\nAll checks passed.' : '\nA check failed.');
process.exit(passed ? 0 : 1);
