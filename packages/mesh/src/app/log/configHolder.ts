/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Holds the configuration in force at one daemon: validates new versions, and never goes back to an older one. */

import { monotonicMs, RouteTable, type RoutingTables, WorkspaceTable } from '@gentiandrum/core';
import { type MeshConfig, meshConfigSchema, findWorkspaceIssues } from '@gentiandrum/protocol';
import type { EventLog } from '../eventLog.js';

/** Time to wait for a newer version from the log before it is requested from another daemon, in milliseconds. */
const kSourceGraceMs = 100;
/** Time to wait for a requested version before it is requested from the next daemon, in milliseconds. */
const kRequestTimeoutMs = 300;
/** Maximum number of faults listed in a log line. */
const kMaxLoggedFaults = 3;

/** Newest valid configuration, with its look-up tables. */
export class ConfigHolder {
  private _config: MeshConfig | undefined;
  private _tables: RoutingTables | undefined;
  /** Connection limit of a target, by service; indexed because each call looks it up several times. */
  private _maxConnections: ReadonlyMap<string, number> = new Map();
  private _appliedAt = 0;
  private _requestedVersion = -1;
  private _requestedAt = -Infinity;

  /** @param _onApplied called with each configuration that is applied */
  constructor(
    private readonly _onApplied: (cfg: MeshConfig) => void,
    private readonly _events: EventLog,
  ) {}

  /** Configuration in force; undefined before the first. */
  get config(): MeshConfig | undefined {
    return this._config;
  }

  /** Look-up tables of the configuration in force. */
  get tables(): RoutingTables | undefined {
    return this._tables;
  }

  /** Connection limit of a target of a service; undefined while it is unknown. */
  maxConnections(service: string): number | undefined {
    return this._maxConnections.get(service);
  }

  /** Version in force; -1 before the first. */
  get version(): number {
    return this._config?.version ?? -1;
  }

  /** Time since the configuration was applied, in seconds. */
  get ageSeconds(): number {
    return this._config ? (monotonicMs() - this._appliedAt) / 1_000 : 0;
  }

  /** Applies a configuration if it is valid and newer than the one in force. */
  apply(cfg: MeshConfig, from: 'log' | 'peer'): void {
    if (cfg.version <= this.version) {
      return;
    }
    const checked = meshConfigSchema.safeParse(cfg);
    if (!checked.success) {
      const faults = checked.error.issues.slice(0, kMaxLoggedFaults).map((issue) => `${issue.path.join('.')}: ${issue.message}`);
      this._events.warn('config', `Version ${cfg.version} is not valid and was ignored.`, { faults });
      return;
    }
    this._config = checked.data;
    this._tables = { version: cfg.version, routes: new RouteTable(checked.data), workspaces: new WorkspaceTable(checked.data) };
    this._maxConnections = new Map(checked.data.services.map(({ name, maxConnections }) => [name, maxConnections]));
    const faults = findWorkspaceIssues(checked.data).slice(0, kMaxLoggedFaults);
    if (faults.length > 0) {
      this._events.warn('config', `Version ${cfg.version} has faults in its workspaces and was applied nevertheless.`, { faults });
    }
    this._appliedAt = monotonicMs();
    this._events.info('config', `Version ${cfg.version} is in force.`, { version: cfg.version, from, routes: cfg.routes.length });
    this._onApplied(checked.data);
  }

  /**
   * Handles a notification that another daemon has a version. Requests a newer version at once, or, when this daemon reads the log,
   * only if the log does not deliver that version first.
   */
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
