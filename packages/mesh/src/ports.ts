/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Interfaces between a routing daemon and its platform, implemented by platform adapters. */

import type { Announcement, TargetRecord, VersionProof } from '@gentiandrum/core';
import type { MeshConfig } from '@gentiandrum/protocol';

/** Names of the HTTP headers exchanged between callers, daemons and targets, in lower case. */
export interface HeaderNames {
  /** Id of one attempt of a caller; targets echo it in their responses. */
  requestId: string;
  /** Time that the sender waits for the response, in milliseconds. */
  remainingMs: string;
  /** Header by which a target marks its responses; a response without it does not come from the target. */
  seal: string;
  /** Target instance that the request is addressed to. */
  expectedInstance: string;
  /** Set on responses to requests that were not run. */
  notRun: string;
  /** Service of the host that sent the request. */
  callerService: string;
  /** Workspace of the request. */
  workspace: string;
  /** Rate limit that the target states in its responses, in requests per second. */
  rateLimit: string;
  /** Set to `1` on the responses of a target that is leaving. */
  leaving: string;
  /** Load that the target states in its responses: runs, waiting requests, slots and, in newer targets, slowness. */
  load: string;
}

/** HTTP conventions of the platform. */
export interface Dialect {
  headers: HeaderNames;
  /** Path of the readiness check. */
  readyPath: string;
  /** Parses a target's announcement; returns undefined for any other request. */
  readAnnouncement(method: string, path: string, body: Buffer): Announcement | undefined;
}

/** Reader of one topic of the platform's log. Log calls are expensive, so only some daemons follow a topic. */
export interface LogView {
  /** Time of the latest response of the log, on the monotonic clock; `-Infinity` before the first. */
  readonly respondedAt: number;
  /** Whether the latest call failed. */
  readonly failing: boolean;
  /** Starts or stops following the topic, that is, receiving records as they are appended. */
  follow(on: boolean): void;
  /** Reads the current records once; resolves to whether the log responded. */
  readNewest(): Promise<boolean>;
  stop(): void;
}

/** Source of the configuration. */
export interface ConfigSource extends LogView {
  /** Sets the callback for configurations; it may receive them in any order, and more than once. */
  onConfig(listener: (cfg: MeshConfig) => void): void;
  /** Latest proof of the newest version in the log; undefined when that version is unknown or cannot be read. */
  readonly proof: VersionProof | undefined;
}

/** A change to the hosts' records in the log. */
export type RecordChange =
  | { kind: 'record'; record: TargetRecord }
  | { kind: 'erased'; host: string }
  /** Another writer replaced the record of the host, if there is such a host, by one that cannot be used. */
  | { kind: 'invalid'; host: string };

/** The hosts' records in the platform's log. */
export interface RecordLog extends LogView {
  /** Sets the callback for the changes in one response of the log; `complete` for a full read. */
  onChanges(listener: (changes: RecordChange[], complete: boolean) => void): void;
  /** Appends records of several hosts atomically, without retries; resolves to whether they are durable. */
  append(records: readonly TargetRecord[]): Promise<boolean>;
  /** Writes the record of this host, with retries; resolves to true once it is durable, to false if a newer write replaces it. */
  publish(record: TargetRecord): Promise<boolean>;
  /** Deletes the record of a host from the log, with retries. */
  erase(host: string): Promise<boolean>;
}

/** Platform adapter. */
export interface Platform {
  dialect: Dialect;
  configs: ConfigSource;
  records: RecordLog;
  /** Number of calls to the log since the start, by kind. */
  logCalls(): ReadonlyMap<string, number>;
}
