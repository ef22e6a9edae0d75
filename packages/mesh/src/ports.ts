/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What a routing daemon needs of the platform that it runs on. Adapters implement these; nothing here knows one. */

import type { Announcement, TargetRecord, VersionProof } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';

/** Names of the HTTP headers by which callers, daemons and targets speak, all in lower case. */
export interface HeaderNames {
  /** Id of one attempt of a caller; targets echo it. */
  requestId: string;
  /** Time for which the sender will wait, in milliseconds. */
  remainingMs: string;
  /** Mark of a target on its answers; without it an answer is not the target's. */
  seal: string;
  /** Instance that the request is meant for. */
  expectedInstance: string;
  /** Set on answers that say: not run. */
  notRun: string;
  /** Service on whose host the request began. */
  callerService: string;
  /** Workspace that the request is of. */
  workspace: string;
}

/** How the platform's HTTP requests are read and written. */
export interface Dialect {
  headers: HeaderNames;
  /** Path of the readiness check. */
  readyPath: string;
  /** Reads a target's announcement; undefined when it is none. */
  readAnnouncement(method: string, path: string, body: Buffer): Announcement | undefined;
}

/** A topic of the platform's log as one daemon reads it. Each call to the log has its price, so most daemons read now and then. */
export interface LogView {
  /** Time of the latest answer of the log, on the monotonic clock; `-Infinity` before the first. */
  readonly answeredAt: number;
  /** Whether the latest call had no answer of use. */
  readonly failing: boolean;
  /** Begins or ends to wait for records as they come. */
  follow(on: boolean): void;
  /** Reads what is there, once; true when the log answered. */
  readNewest(): Promise<boolean>;
  stop(): void;
}

/** Where the operators' configuration comes from. */
export interface ConfigSource extends LogView {
  /** Sets what is called with each configuration found, in any order, also twice. */
  onConfig(take: (cfg: MeshConfig) => void): void;
  /** What the log was last shown to have as its newest version; undefined when that is not known, or can't be read. */
  readonly proof: VersionProof | undefined;
}

/** A change in the shared records. */
export type RecordChange = { kind: 'record'; record: TargetRecord } | { kind: 'erased'; host: string };

/** The hosts' records in the platform's log. */
export interface RecordLog extends LogView {
  /** Sets what is called with the changes of one answer, and whether that was a complete reading. */
  onChanges(take: (changes: RecordChange[], complete: boolean) => void): void;
  /** Appends records of several hosts, all or none; true once they are durable. Tries once. */
  append(records: readonly TargetRecord[]): Promise<boolean>;
  /** Writes the record of this host; resolves once it is durable, and gives up when a newer one is published. */
  publish(record: TargetRecord): Promise<boolean>;
  /** Removes the record of this host for good. */
  erase(host: string): Promise<boolean>;
}

/** The platform as a whole. */
export interface Platform {
  dialect: Dialect;
  configs: ConfigSource;
  records: RecordLog;
  /** Calls made to the log since the start, by kind; each has its price. */
  logCalls(): ReadonlyMap<string, number>;
}
