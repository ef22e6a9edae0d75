/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Requests of operators and targets, below `/-/`. */

import { Body, Controller, Get, Header, HttpCode, HttpException, Inject, Param, Post, Query } from '@nestjs/common';
import { errorResponse, type ErrorKind, kOpenLevel, type ListedSuspect, type Member, type SubmitResult, wallMs } from '@gentiandrum/core';
import { announcementSchema, patchRequestSchema } from '@gentiandrum/protocol';
import type { LoggedDecision } from '../app/decisionLog.js';
import { Daemon } from '../app/daemon.js';

const kMicrosPerMs = 1_000;

/** Status of a daemon and what it knows of the others. */
export interface StatusReport {
  daemon: string;
  zone: string;
  version: number;
  stopping: boolean;
  members: Member[];
  gate?: { inFlight: number; queued: number; limit: number; level: number; closed?: string };
  openLevel: number;
  memoryBytes: number;
  /** Memory of the JavaScript heap that is in use. */
  heapBytes: number;
  /** Processor time of the whole process since its start, in milliseconds. */
  cpuMs: number;
  control: { bytes: number; appends: number; reads: number; uptimeMs: number };
}

/** What a daemon tells of itself. */
export interface SelfReport {
  id: string;
  version: number;
  level: number;
}

/** Controls of one daemon. */
@Controller('-')
export class ControlController {
  private readonly _startedAt = wallMs();

  constructor(@Inject(Daemon) private readonly _daemon: Daemon) {}

  /** A target's announcement. */
  @Post('announce')
  @HttpCode(200)
  announce(@Body() body: Buffer): { state: string; intake: string } {
    const checked = announcementSchema.safeParse(parseBody(body));
    if (!checked.success) {
      throw problem('bad_request', issuesText(checked.error.issues));
    }
    this._daemon.target.announce(checked.data);
    return { state: this._daemon.target.state, intake: this._daemon.stopping ? 'stopping' : 'open' };
  }

  /** An operator's patch. */
  @Post('patches')
  @HttpCode(200)
  async submit(@Body() body: Buffer): Promise<SubmitResult> {
    const checked = patchRequestSchema.safeParse(parseBody(body));
    if (!checked.success) {
      throw problem('bad_request', issuesText(checked.error.issues));
    }
    const submitted = await this._daemon.config.submit(checked.data);
    switch (submitted.kind) {
      case 'accepted':
        return submitted;
      case 'conflict':
        throw problem('patch_conflict', `Version ${submitted.current} is in force, by ${submitted.wonBy}.`, { verdict: submitted });
      case 'invalid':
        throw problem('patch_invalid', issuesText(submitted.issues), { verdict: submitted });
      case 'unavailable':
        throw problem('log_unavailable', 'The patch was not taken.', { verdict: submitted });
      case 'unsettled':
        throw problem('patch_unsettled', 'Submit it again with the same patch id.', { verdict: submitted });
    }
  }

  /** The configuration, now or at an earlier version. */
  @Get('config')
  getConfig(@Query('at') at?: string): { version: number; config: unknown } {
    const { fold } = this._daemon.config;
    if (at === undefined || Number(at) === fold.version) {
      return { version: fold.version, config: fold.written };
    }
    const entry = fold.history.find(({ version }) => version === Number(at));
    if (!entry) {
      throw problem('bad_request', `Expected a version that is still kept, at most ${fold.version}; got "${at}".`);
    }
    return { version: entry.version, config: entry.config };
  }

  /** The latest versions. */
  @Get('history')
  history(): { versions: { version: number; author: string; patchId: string }[] } {
    return { versions: this._daemon.config.fold.history.map(({ version, author, patchId }) => ({ version, author, patchId })) };
  }

  /** Status of this daemon and what it knows of the others. */
  @Get('status')
  status(): StatusReport {
    const { settings, config, members, target, meter, stopping } = this._daemon;
    const { gate } = target;
    return {
      daemon: settings.id,
      zone: settings.zone,
      version: config.fold.version,
      stopping,
      members: members.view.all(),
      gate: gate && { inFlight: gate.inFlight, queued: gate.queued, limit: gate.limit, level: gate.level, closed: gate.closed },
      openLevel: kOpenLevel,
      memoryBytes: process.memoryUsage.rss(),
      heapBytes: process.memoryUsage().heapUsed,
      cpuMs: cpuMs(),
      control: { bytes: meter.bytes, appends: meter.appends, reads: meter.reads, uptimeMs: wallMs() - this._startedAt },
    };
  }

  /** What this daemon alone can tell of itself; the client asks every daemon for it. */
  @Get('self')
  self(): SelfReport {
    const { settings, config, target } = this._daemon;
    return { id: settings.id, version: config.fold.version, level: target.gate?.level ?? kOpenLevel };
  }

  /** The decisions made for a request here. */
  @Get('decisions/:request')
  decisions(@Param('request') request: string): { request: string; decisions: LoggedDecision[] } {
    return { request, decisions: this._daemon.decisions.forRequest(request) };
  }

  /** Kinds of calls that targets ended by. */
  @Get('suspects')
  suspects(): { suspects: ListedSuspect[] } {
    return { suspects: this._daemon.suspects.suspects.list() };
  }

  /** Lets a kind run again. */
  @Post('suspects/:fingerprint/release')
  @HttpCode(200)
  release(@Param('fingerprint') fingerprint: string): { released: string } {
    if (!this._daemon.suspects.suspects.release(fingerprint)) {
      throw problem('bad_request', `Expected a kind that something is held against, got "${fingerprint}".`);
    }
    return { released: fingerprint };
  }

  /** A namespace for a caller's numbered idempotency keys. */
  @Post('namespaces')
  @HttpCode(200)
  @Header('cache-control', 'no-store')
  openNamespace(): { namespace: string } {
    return { namespace: this._daemon.calls.openNamespace() };
  }
}

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / kMicrosPerMs;
}

function parseBody(body: Buffer | undefined): unknown {
  try {
    return JSON.parse(Buffer.isBuffer(body) ? body.toString('utf8') : '');
  } catch {
    throw problem('bad_request', 'Expected a JSON body.');
  }
}

function issuesText(issues: readonly { path: PropertyKey[] | string; message: string }[]): string {
  return issues.map(({ path, message }) => `${Array.isArray(path) ? path.join('.') : path}: ${message}`).join('; ');
}

function problem(kind: ErrorKind, detail: string, more: object = {}): HttpException {
  const { status, title, outcome } = errorResponse(kind);
  return new HttpException({ type: `urn:gentiandrum:error:${kind}`, title, status, detail, kind, outcome, ...more }, status);
}
