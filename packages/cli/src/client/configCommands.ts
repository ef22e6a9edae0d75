/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Commands that read or change the configuration: apply, get, diff, history, validate, drain. */

import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { mergePatch } from '@gentiandrum/core';
import { configSchema, meshConfigSchema, type PatchRequest, findWorkspaceIssues } from '@gentiandrum/protocol';
import { parse, stringify } from 'yaml';
import { DaemonClient, type DaemonError, formatError } from './daemonClient.js';
import { CommandError, kExit, printJson, printLine, printTable } from './output.js';
import { fetchSelfResponses, type StatusResponse } from './statusCommands.js';

const kMaxSubmitAttempts = 5;
const kSubmitRetryDelayMs = 400;
const kWaitPollMs = 200;

/** Options common to all commands that contact a daemon. */
export interface CommonOptions {
  daemon: string;
  json?: boolean;
}

interface ConfigResponse {
  version: number;
  config: unknown;
}

/** Submits the patch in a file against a base version. */
export async function apply(
  file: string,
  options: CommonOptions & { base?: number; wait?: boolean; timeout: number; author?: string },
): Promise<void> {
  const base = parseWholeNumber('--base', options.base);
  const patch = readYaml(file);
  if (typeof patch !== 'object' || patch === null || Array.isArray(patch)) {
    throw new CommandError(kExit.usage, `expected ${file} to hold a map of settings to change, got ${JSON.stringify(patch)}`);
  }
  await submit(
    { patchId: randomUUID(), base, author: options.author ?? userInfo().username, patch: patch as Record<string, unknown> },
    options,
  );
}

/** Marks a target as draining, or undoes that. */
export async function drain(
  target: string,
  options: CommonOptions & { wait?: boolean; timeout: number; undo?: boolean; author?: string },
): Promise<void> {
  const { version } = unwrap(await new DaemonClient(options.daemon).get<ConfigResponse>('/-/config'));
  const patch = { targets: { [target]: options.undo === true ? null : 'leaving' } };
  await submit({ patchId: randomUUID(), base: version, author: options.author ?? userInfo().username, patch }, options);
}

/** Prints the configuration. */
export async function get(options: CommonOptions & { at?: number }): Promise<void> {
  const response = await fetchConfig(options.daemon, options.at);
  if (options.json === true) {
    printJson(response);
    return;
  }
  printLine(`# version ${response.version}`);
  printLine(stringify(response.config).trimEnd());
}

/** Prints what a patch would change. */
export async function diff(file: string, options: CommonOptions): Promise<void> {
  const patch = readYaml(file);
  const { version, config } = await fetchConfig(options.daemon);
  const after = mergePatch(config, patch);
  const issues = findIssues(after);
  const changes = diffValues(config, after, '');
  if (options.json === true) {
    printJson({ base: version, changes, issues });
  } else {
    printLine(`# against version ${version}`);
    for (const { path, before, after: now } of changes) {
      printLine(`${path}: ${formatValue(before)} -> ${formatValue(now)}`);
    }
    issues.forEach((issue) => {
      printLine(`invalid: ${issue}`);
    });
  }
  if (issues.length > 0) {
    throw new CommandError(kExit.usage, 'the patch results in an invalid configuration');
  }
}

/** Prints the most recent versions. */
export async function history(options: CommonOptions): Promise<void> {
  const response = unwrap(
    await new DaemonClient(options.daemon).get<{ versions: { version: number; author: string; patchId: string }[] }>('/-/history'),
  );
  if (options.json === true) {
    printJson(response);
    return;
  }
  printTable(
    ['VERSION', 'AUTHOR', 'PATCH'],
    response.versions.map(({ version, author, patchId }) => [String(version), author, patchId]),
  );
}

/** Validates a file with a complete configuration locally. */
export function validate(file: string, options: { json?: boolean }): void {
  const issues = findIssues(readYaml(file));
  if (options.json === true) {
    printJson({ valid: issues.length === 0, issues });
  } else {
    issues.forEach((issue) => {
      printLine(`${file}: ${issue}`);
    });
  }
  if (issues.length > 0) {
    throw new CommandError(kExit.usage, `${file} has ${issues.length} issues`);
  }
  if (options.json !== true) {
    printLine(`${file}: the configuration is valid`);
  }
}

/** Submits a patch; retries with the same patch id while its outcome is unknown. */
async function submit(patch: PatchRequest, options: CommonOptions & { wait?: boolean; timeout: number }): Promise<void> {
  const client = new DaemonClient(options.daemon);
  let version: number | undefined;
  for (let attempt = 0; version === undefined; attempt++) {
    const response = await client.post<{ version: number }>('/-/patches', patch);
    if (response.ok) {
      version = response.val.version;
    } else if (attempt + 1 >= kMaxSubmitAttempts || !isRetryable(response.val)) {
      throw toCommandError(response.val);
    } else {
      await pause(kSubmitRetryDelayMs);
    }
  }
  const report = options.wait === true ? await waitUntilInForce(client, version, options.timeout) : undefined;
  printApplyResult(version, report, options);
}

function printApplyResult(version: number, report: WaitReport | undefined, options: CommonOptions): void {
  if (options.json === true) {
    printJson({ version, ...report });
  } else {
    printLine(`version ${version} is accepted`);
    for (const { zone, holding, of } of report?.zones ?? []) {
      printLine(`  ${zone}: in force on ${holding} of ${of} daemons`);
    }
  }
  if (report && report.missing.length > 0) {
    throw new CommandError(kExit.incomplete, `version ${version} is not in force on: ${report.missing.join(', ')}`);
  }
}

interface WaitReport {
  zones: { zone: string; holding: number; of: number }[];
  missing: string[];
}

async function waitUntilInForce(client: DaemonClient, version: number, seconds: number): Promise<WaitReport> {
  const deadline = performance.now() + seconds * 1_000;
  for (;;) {
    const { members } = unwrap(await client.get<StatusResponse>('/-/status'));
    const remainingMembers = members.filter((member) => member.state !== 'left');
    const selfResponses = await fetchSelfResponses(remainingMembers);
    const isInForceOn = ({ id }: { id: string }): boolean => (selfResponses.get(id)?.version ?? 0) >= version;
    const missing = remainingMembers.filter((member) => !isInForceOn(member)).map((member) => member.id);
    if (missing.length === 0 || performance.now() > deadline) {
      const zones = [...new Set(remainingMembers.map((member) => member.zone))].sort().map((zone) => {
        const inZone = remainingMembers.filter((member) => member.zone === zone);
        return { zone, holding: inZone.filter(isInForceOn).length, of: inZone.length };
      });
      return { zones, missing };
    }
    await pause(kWaitPollMs);
  }
}

function isRetryable(error: DaemonError): boolean {
  return error.kind === 'problem' && (error.error === 'patch_unsettled' || error.error === 'log_unavailable');
}

function toCommandError(error: DaemonError): CommandError {
  if (error.kind === 'unreachable') {
    return new CommandError(kExit.unavailable, formatError(error));
  }
  switch (error.error) {
    case 'patch_conflict':
      return new CommandError(kExit.conflict, formatError(error));
    case 'patch_invalid':
      return new CommandError(kExit.usage, formatError(error));
    case 'patch_unsettled':
    case 'log_unavailable':
      return new CommandError(kExit.unavailable, formatError(error));
    default:
      return new CommandError(kExit.failed, formatError(error));
  }
}

async function fetchConfig(daemon: string, at?: number): Promise<ConfigResponse> {
  const query = at === undefined ? '' : `?at=${parseWholeNumber('--at', at)}`;
  return unwrap(await new DaemonClient(daemon).get<ConfigResponse>(`/-/config${query}`));
}

function readYaml(file: string): unknown {
  try {
    return parse(readFileSync(file, 'utf8'));
  } catch (err) {
    throw new CommandError(kExit.usage, `expected a readable YAML file, got ${file}: ${err instanceof Error ? err.message : String(err)}`);
  }
}

/** Validates a configuration; one with `routes` is checked against the schema of the routing daemon. */
function findIssues(config: unknown): string[] {
  if (!isMap(config) || !('routes' in config)) {
    return formatIssues(configSchema.safeParse(config));
  }
  const checked = meshConfigSchema.safeParse(config);
  return checked.success ? findWorkspaceIssues(checked.data) : formatIssues(checked);
}

function formatIssues({
  error,
}: {
  error?: { issues: readonly { path: readonly PropertyKey[]; message: string }[] } | undefined;
}): string[] {
  return (error?.issues ?? []).map((issue) => `${issue.path.join('.') || 'file'}: ${issue.message}`);
}

interface Change {
  path: string;
  before: unknown;
  after: unknown;
}

function diffValues(before: unknown, after: unknown, path: string): Change[] {
  if (isMap(before) && isMap(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap((key) => diffValues(before[key], after[key], path === '' ? key : `${path}.${key}`));
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
}

function formatValue(value: unknown): string {
  return value === undefined ? 'absent' : JSON.stringify(value);
}

function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Parses the value of an option as a non-negative integer. */
export function parseWholeNumber(option: string, value: unknown): number {
  const number = typeof value === 'string' && value !== '' ? Number(value) : value;
  if (typeof number !== 'number' || !Number.isInteger(number) || number < 0) {
    throw new CommandError(
      kExit.usage,
      `expected ${option} to be a whole number, got ${value === undefined ? 'nothing' : JSON.stringify(value)}`,
    );
  }
  return number;
}

/** Returns the value of a response, or throws a `CommandError` with the matching exit code. */
export function unwrap<T>(response: { ok: true; val: T } | { ok: false; val: DaemonError }): T {
  if (response.ok) {
    return response.val;
  }
  const code = response.val.kind === 'unreachable' ? kExit.unavailable : kExit.failed;
  throw new CommandError(code, formatError(response.val));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
