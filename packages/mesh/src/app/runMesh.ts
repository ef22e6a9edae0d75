/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs a routing daemon as a process, from its settings to its planned stop. */

import type { MeshSettings } from '@gentiandrum/protocol';
import type { Platform } from '../ports.js';
import { EventLog } from './eventLog.js';
import { loadMeshSettings } from './loadMeshSettings.js';
import { MeshDaemon } from './meshDaemon.js';

/** Exit codes of the daemon. */
export const kMeshExit = { ok: 0, failed: 1, badSettings: 2 } as const;

/** Runs a daemon until it is told to stop; `adapt` makes the platform's adapter from the settings. */
export async function runMesh(settingsFile: string, createPlatform: (settings: MeshSettings, events: EventLog) => Platform): Promise<void> {
  const settings = readSettings(settingsFile);
  if (!settings) {
    process.exitCode = kMeshExit.badSettings;
    return;
  }
  const events = new EventLog(settings.id, settings.logLinesPerSecond);
  process.on('unhandledRejection', (err) => {
    events.warn('start', 'A fault of the daemon was not handled.', { err: err instanceof Error ? err.stack : String(err) });
  });
  process.on('uncaughtException', (err) => {
    events.warn('start', 'A fault of the daemon was not handled.', { err: err.stack });
  });
  const daemon = new MeshDaemon(settings, createPlatform(settings, events), events);
  process.on('SIGHUP', () => {
    reload(settingsFile, settings, events);
  });
  process.on('SIGTERM', () => {
    void daemon.stop().then(() => {
      process.exit(kMeshExit.ok);
    });
  });
  try {
    await daemon.start();
  } catch (err) {
    events.warn('start', 'Could not listen.', { err: String(err) });
    process.exit(kMeshExit.failed);
  }
}

function readSettings(file: string): MeshSettings | undefined {
  try {
    return loadMeshSettings(file);
  } catch (err) {
    process.stderr.write(`gentiandrumd: ${err instanceof Error ? err.message : String(err)}\n`);
    return undefined;
  }
}

/** Addresses and names hold for the life of a process; a changed file is checked, and takes effect at the next start. */
function reload(file: string, settings: MeshSettings, events: EventLog): void {
  try {
    const changed = JSON.stringify(loadMeshSettings(file)) !== JSON.stringify(settings);
    events.notable('start', changed ? 'The settings changed; they take effect at the next start.' : 'The settings have not changed.', {});
  } catch (err) {
    events.warn('start', 'The changed settings are not valid.', { err: String(err) });
  }
}
