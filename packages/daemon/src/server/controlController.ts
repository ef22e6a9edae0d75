/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Control requests of operators and targets, below `/-/`. */

import { Body, Controller, Get, Header, HttpCode, HttpException, Inject, Param, Post, Query } from '@nestjs/common';
import { errorResponse, type ErrorKind, kOpenLevel, type ListedSuspect, type Member, type SubmitResult, wallMs } from '@gentiandrum/core';
import { announcementSchema, patchRequestSchema } from '@gentiandrum/protocol';
import type { LoggedDecision } from '../app/decisionLog.js';
import { Daemon } from '../app/daemon.js';

const kMicrosPerMs = 1_000;

/** State of a daemon, and the members that it knows. */
export interface StatusResponse {
  daemon: string;
  zone: string;
  version: number;
  stopping: boolean;
  members: Member[];
  gate?: { inFlight: number; queued: number; limit: number; level: number; closed?: string };
  openLevel: number;
  memoryBytes: number;
  /** Used size of the JavaScript heap. */
  heapBytes: number;
  /** CPU time of the process since its start, in milliseconds. */
  cpuMs: number;
  control: { bytes: number; appends: number; reads: number; uptimeMs: number };
}

/** A daemon's report about itself alone. */
export interface SelfResponse {
  id: string;
  version: number;
  level: number;
}

@Controller('-')
export class ControlController {
  private readonly _startedAt = wallMs();

  constructor(@Inject(Daemon) private readonly _daemon: Daemon) {}

  /** Handles the announcement of the local target. */
  @Post('announce')
  @HttpCode(200)
  announce(@Body() body: Buffer): { state: string; intake: string } {
    const parsed = announcementSchema.safeParse(parseBody(body));
    if (!parsed.success) {
      throw problemException('bad_request', formatIssues(parsed.error.issues));
    }
    this._daemon.target.announce(parsed.data);
    return { state: this._daemon.target.state, intake: this._daemon.stopping ? 'stopping' : 'open' };
  }

  /** Submits an operator's patch of the configuration. */
  @Post('patches')
  @HttpCode(200)
  async submit(@Body() body: Buffer): Promise<SubmitResult> {
    const parsed = patchRequestSchema.safeParse(parseBody(body));
    if (!parsed.success) {
      throw problemException('bad_request', formatIssues(parsed.error.issues));
    }
    const result = await this._daemon.config.submit(parsed.data);
    switch (result.kind) {
      case 'accepted':
        return result;
      case 'conflict':
        throw problemException('patch_conflict', `Version ${result.current} is in force, by ${result.wonBy}.`, { verdict: result });
      case 'invalid':
        throw problemException('patch_invalid', formatIssues(result.issues), { verdict: result });
      case 'unavailable':
        throw problemException('log_unavailable', 'The log is unavailable; the patch was not applied.', { verdict: result });
      case 'unsettled':
        throw problemException('patch_unsettled', 'The outcome is unknown; submit the patch again with the same patch id.', {
          verdict: result,
        });
    }
  }

  /** Returns the configuration, current or at an earlier version. */
  @Get('config')
  getConfig(@Query('at') at?: string): { version: number; config: unknown } {
    const { fold } = this._daemon.config;
    if (at === undefined || Number(at) === fold.version) {
      return { version: fold.version, config: fold.written };
    }
    const entry = fold.history.find(({ version }) => version === Number(at));
    if (!entry) {
      throw problemException('bad_request', `Expected a version that is still kept, at most ${fold.version}; got "${at}".`);
    }
    return { version: entry.version, config: entry.config };
  }

  /** Lists the latest versions of the configuration. */
  @Get('history')
  history(): { versions: { version: number; author: string; patchId: string }[] } {
    return { versions: this._daemon.config.fold.history.map(({ version, author, patchId }) => ({ version, author, patchId })) };
  }

  /** Returns the state of this daemon, and the members that it knows. */
  @Get('status')
  status(): StatusResponse {
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

  /** Returns the state that only this daemon knows; the command-line client requests it from every daemon. */
  @Get('self')
  self(): SelfResponse {
    const { settings, config, target } = this._daemon;
    return { id: settings.id, version: config.fold.version, level: target.gate?.level ?? kOpenLevel };
  }

  /** Lists the decisions that this daemon made for a request. */
  @Get('decisions/:request')
  decisions(@Param('request') request: string): { request: string; decisions: LoggedDecision[] } {
    return { request, decisions: this._daemon.decisions.forRequest(request) };
  }

  /** Lists request fingerprints that are suspected of crashing targets. */
  @Get('suspects')
  suspects(): { suspects: ListedSuspect[] } {
    return { suspects: this._daemon.suspects.suspects.list() };
  }

  /** Releases a request fingerprint from suspicion and quarantine. */
  @Post('suspects/:fingerprint/release')
  @HttpCode(200)
  release(@Param('fingerprint') fingerprint: string): { released: string } {
    if (!this._daemon.suspects.suspects.release(fingerprint)) {
      throw problemException('bad_request', `Expected the fingerprint of a suspect that is not released, got "${fingerprint}".`);
    }
    return { released: fingerprint };
  }

  /** Opens a namespace for a caller's numbered idempotency keys. */
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
    throw problemException('bad_request', 'Expected a JSON body.');
  }
}

function formatIssues(issues: readonly { path: PropertyKey[] | string; message: string }[]): string {
  return issues.map(({ path, message }) => `${Array.isArray(path) ? path.join('.') : path}: ${message}`).join('; ');
}

function problemException(kind: ErrorKind, detail: string, extensions: object = {}): HttpException {
  const { status, title, outcome } = errorResponse(kind);
  return new HttpException({ type: `urn:gentiandrum:error:${kind}`, title, status, detail, kind, outcome, ...extensions }, status);
}
