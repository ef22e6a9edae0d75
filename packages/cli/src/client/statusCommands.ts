/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Commands that show the state and the decisions of the daemons: status, explain. */

import type { OverloadDetail } from '@gentiandrum/core';
import { unwrap, type CommonOptions } from './configCommands.js';
import { DaemonClient } from './daemonClient.js';
import { CommandError, kExit, printJson, printLine, printTable } from './output.js';

/** Daemon as listed in a status response. */
export interface MemberRow {
  id: string;
  address: string;
  zone: string;
  region: string;
  state: string;
  target: string;
  service: string;
  targetState: string;
  slots: number;
  configVersion: number;
}

/** Response of a daemon about its own state. */
export interface SelfResponse {
  id: string;
  version: number;
  level: number;
}

const kMaxConcurrentRequests = 32;
const kSelfRequestTimeoutMs = 1_000;

/** Response of a daemon to a status request. */
export interface StatusResponse {
  daemon: string;
  version: number;
  members: MemberRow[];
  openLevel: number;
}

interface DecisionRow {
  request: string;
  step: string;
  cls: string;
  reason: string;
  target?: string;
  weighed?: { target: string; score: number }[];
  overload?: OverloadDetail;
  at: number;
}

/** Prints zones, daemons, versions, targets and admission levels. */
export async function status(options: CommonOptions): Promise<void> {
  const response = unwrap(await new DaemonClient(options.daemon).get<StatusResponse>('/-/status'));
  if (options.json === true) {
    printJson(response);
    return;
  }
  const { members, openLevel } = response;
  const selfResponses = await fetchSelfResponses(members.filter((member) => member.state === 'alive'));
  printLine(`seen by ${response.daemon}, configuration version ${response.version}`);
  const rows = [...members].sort((a, b) => (`${a.zone}/${a.id}` < `${b.zone}/${b.id}` ? -1 : 1));
  printTable(
    ['ZONE', 'DAEMON', 'STATE', 'VERSION', 'SERVICE', 'TARGET', 'TAKES WORK', 'SLOTS', 'ADMITS'],
    rows.map((m) => [
      m.zone,
      m.id,
      m.state,
      String(selfResponses.get(m.id)?.version ?? m.configVersion),
      m.service || '-',
      m.target || '-',
      m.targetState,
      String(m.slots),
      formatAdmission(selfResponses.get(m.id)?.level, openLevel),
    ]),
  );
}

/** Queries the state of several daemons; the result omits those that do not respond. */
export async function fetchSelfResponses(members: readonly MemberRow[]): Promise<Map<string, SelfResponse>> {
  const responses = new Map<string, SelfResponse>();
  const pending = [...members];
  const worker = async (): Promise<void> => {
    for (let member = pending.pop(); member; member = pending.pop()) {
      const response = await new DaemonClient(member.address, kSelfRequestTimeoutMs).get<SelfResponse>('/-/self');
      if (response.ok) {
        responses.set(member.id, response.val);
      }
    }
  };
  await Promise.all(Array.from({ length: kMaxConcurrentRequests }, worker));
  return responses;
}

function formatAdmission(level: number | undefined, openLevel: number): string {
  return level === undefined ? '?' : `${Math.round((level / openLevel) * 100)}%`;
}

/** Prints the decisions made for a request and their reasons. */
export async function explain(request: string, options: CommonOptions): Promise<void> {
  const client = new DaemonClient(options.daemon);
  const { members } = unwrap(await client.get<StatusResponse>('/-/status'));
  const entryDaemon = members.find((member) => member.id === request.split('~')[0]);
  const entryDecisions = await fetchDecisions(entryDaemon?.address ?? options.daemon, request);
  const targets = new Set(entryDecisions.flatMap(({ target }) => (target === undefined ? [] : [target])));
  const gateDaemons = members.filter((member) => targets.has(member.target) && member.id !== entryDaemon?.id);
  const gateDecisions = await Promise.all(gateDaemons.map((member) => fetchDecisions(member.address, request)));
  const all = [...entryDecisions, ...gateDecisions.flat()].sort((a, b) => a.at - b.at);
  if (all.length === 0) {
    throw new CommandError(kExit.failed, `expected the id of a recent request, got "${request}": no daemon has decisions for it`);
  }
  if (options.json === true) {
    printJson({ request, decisions: all });
    return;
  }
  for (const { at, step, cls, reason, target, weighed, overload } of all) {
    const considered = weighed ? ` among ${weighed.map((w) => `${w.target}=${w.score}`).join(', ')}` : '';
    const detail = overload ? ` (rank ${overload.rank}, level ${overload.level} of ${overload.service})` : considered;
    printLine(`${new Date(at).toISOString()} ${step} [${cls}]${target === undefined ? '' : ` ${target}`}: ${reason}${detail}`);
  }
}

async function fetchDecisions(address: string, request: string): Promise<DecisionRow[]> {
  const response = await new DaemonClient(address).get<{ decisions: DecisionRow[] }>(`/-/decisions/${encodeURIComponent(request)}`);
  return response.ok ? response.val.decisions : [];
}
