/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** The configuration in force at one daemon: checked, never older than the one before, and passed on to other daemons. */

import { monotonicMs, RouteTable, type RoutingTables, WorkspaceTable } from '@gentiandrum/core';
import { type MeshConfig, meshConfigSchema, workspaceFaults } from '@gentiandrum/protocol';
import type { EventLog } from '../eventLog.js';

/** Time that a newer version gets to come from its source before a daemon that has it is asked, in milliseconds. */
const kSourceGraceMs = 100;
/** Time that a daemon gets to send the version that it was asked for before the next one is asked, in milliseconds. */
const kRequestTimeoutMs = 300;
/** Faults of a configuration that a log line names. */
const kMaxLoggedFaults = 3;

/** Holds the newest configuration. */
export class ConfigHolder {
  private _config: MeshConfig | undefined;
  private _tables: RoutingTables | undefined;
  /** Connections that a target accepts, by service: looked up several times a call. */
  private _maxConnections: ReadonlyMap<string, number> = new Map();
  private _appliedAt = 0;
  private _requestedVersion = -1;
  private _requestedAt = -Infinity;

  /** @param _onApplied called with each configuration that comes into force */
  constructor(
    private readonly _onApplied: (cfg: MeshConfig) => void,
    private readonly _events: EventLog,
  ) {}

  /** The configuration in force. */
  get config(): MeshConfig | undefined {
    return this._config;
  }

  /** The same, ready for look-ups. */
  get tables(): RoutingTables | undefined {
    return this._tables;
  }

  /** Connections that a target of a service accepts; undefined while that is not known. */
  maxConnections(service: string): number | undefined {
    return this._maxConnections.get(service);
  }

  /** Its version; -1 before the first. */
  get version(): number {
    return this._config?.version ?? -1;
  }

  /** Time since it came into force, in seconds. */
  get ageSeconds(): number {
    return this._config ? (monotonicMs() - this._appliedAt) / 1_000 : 0;
  }

  /** Takes a configuration from wherever it came. Versions only go up within one life of the process. */
  apply(cfg: MeshConfig, from: 'log' | 'peer'): void {
    if (cfg.version <= this.version) {
      return;
    }
    const checked = meshConfigSchema.safeParse(cfg);
    if (!checked.success) {
      const faults = checked.error.issues.slice(0, kMaxLoggedFaults).map((issue) => `${issue.path.join('.')}: ${issue.message}`);
      this._events.warn('config', `Version ${cfg.version} is not valid and stays out of force.`, { faults });
      return;
    }
    this._config = checked.data;
    this._tables = { version: cfg.version, routes: new RouteTable(checked.data), workspaces: new WorkspaceTable(checked.data) };
    this._maxConnections = new Map(checked.data.services.map(({ name, maxConnections }) => [name, maxConnections]));
    const faults = workspaceFaults(checked.data).slice(0, kMaxLoggedFaults);
    if (faults.length > 0) {
      this._events.warn('config', `Version ${cfg.version} has faults that this daemon can live with.`, { faults });
    }
    this._appliedAt = monotonicMs();
    this._events.notable('config', `Version ${cfg.version} is in force.`, { version: cfg.version, from, routes: cfg.routes.length });
    this._onApplied(checked.data);
  }

  /** Hears that another daemon has a version; asks it, at once or when the own source doesn't bring that version first. */
  versionAvailable(version: number, readsLog: boolean, request: () => void): void {
    if (version <= this.version) {
      return;
    }
    if (!readsLog) {
      this._requestOnce(version, request);
      return;
    }
    setTimeout(() => {
      this._requestOnce(version, request);
    }, kSourceGraceMs);
  }

  private _requestOnce(version: number, request: () => void): void {
    const now = monotonicMs();
    const alreadyRequested = version <= this._requestedVersion && now - this._requestedAt < kRequestTimeoutMs;
    if (version > this.version && !alreadyRequested) {
      this._requestedVersion = version;
      this._requestedAt = now;
      request();
    }
  }
}
