/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Runs a routing daemon as a process, from loading its settings to its graceful shutdown. */

import type { MeshSettings } from '@gentiandrum/protocol';
import type { Platform } from '../ports.js';
import { EventLog } from './eventLog.js';
import { loadMeshSettings } from './loadMeshSettings.js';
import { MeshDaemon } from './meshDaemon.js';

/** Exit codes of the daemon. */
export const kMeshExit = { ok: 0, failed: 1, badSettings: 2 } as const;

/** Runs a daemon until SIGTERM; `createPlatform` returns the platform adapter for the settings. */
export async function runMesh(settingsFile: string, createPlatform: (settings: MeshSettings, events: EventLog) => Platform): Promise<void> {
  const settings = readSettings(settingsFile);
  if (!settings) {
    process.exitCode = kMeshExit.badSettings;
    return;
  }
  const events = new EventLog(settings.id, settings.logLinesPerSecond);
  process.on('unhandledRejection', (err) => {
    events.warn('start', 'Unhandled promise rejection.', { err: err instanceof Error ? err.stack : String(err) });
  });
  process.on('uncaughtException', (err) => {
    events.warn('start', 'Uncaught exception.', { err: err.stack });
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
    events.warn('start', 'Failed to listen on the configured addresses.', { err: String(err) });
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

/** Validates a changed settings file, which takes effect at the next start. */
function reload(file: string, settings: MeshSettings, events: EventLog): void {
  try {
    const changed = JSON.stringify(loadMeshSettings(file)) !== JSON.stringify(settings);
    events.info('start', changed ? 'The settings changed; they take effect at the next start.' : 'The settings have not changed.', {});
  } catch (err) {
    events.warn('start', 'The changed settings are not valid.', { err: String(err) });
  }
}
