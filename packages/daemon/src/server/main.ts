/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Command line of `gentiandrumd`. */

import { cac } from 'cac';
import { Daemon } from '../app/daemon.js';
import { formatSettingsError, loadSettings } from '../app/loadSettings.js';
import { type Server, startServer } from './startServer.js';

/** Time for which open connections are still served before the server closes, in milliseconds. */
const kConnectionDrainMs = 500;

/** Exit codes of the daemon. */
export const kExit = { ok: 0, failed: 1, badSettings: 2 } as const;

/** Parses the arguments and runs the daemon; sets the exit code if the arguments or settings are invalid. */
export async function main(argv: string[]): Promise<void> {
  const cli = cac('gentiandrumd');
  cli.usage('--settings FILE.yaml [--check]');
  cli.option('--settings <file>', 'YAML file with the settings of this daemon');
  cli.option('--check', 'Check the settings and exit');
  cli.example('  gentiandrumd --settings /etc/gentiandrum/daemon.yaml');
  cli.help();
  const { options } = cli.parse(argv, { run: false });
  if (options.help === true) {
    return;
  }
  const file: unknown = options.settings;
  if (typeof file !== 'string') {
    process.stderr.write('gentiandrumd: expected --settings FILE.yaml, got none\n');
    process.exitCode = kExit.badSettings;
    return;
  }
  const settings = loadSettings(file);
  if (settings.err) {
    process.stderr.write(settings.val.map((error) => `gentiandrumd: ${file}: ${formatSettingsError(error)}\n`).join(''));
    process.exitCode = kExit.badSettings;
    return;
  }
  if (options.check === true) {
    process.stdout.write(`${file}: the settings are valid\n`);
    return;
  }
  await run(new Daemon(settings.val));
}

async function run(daemon: Daemon): Promise<void> {
  const server = await startServer(daemon).catch((err: unknown) => {
    daemon.logger.error('start', `Failed to listen on the configured address ${daemon.settings.listen}.`, { err: String(err) });
    process.exit(kExit.failed);
  });
  let stopping = false;
  const onSignal = (signal: NodeJS.Signals): void => {
    if (!stopping) {
      stopping = true;
      void stop(daemon, server);
    } else if (signal === 'SIGINT') {
      daemon.logger.warn('stop', `Interrupted again; exiting with ${daemon.inFlight} calls in flight.`, { cut: daemon.inFlight });
      process.exit(kExit.failed);
    } else {
      // Supervisors may repeat the signal; they send SIGKILL when they want no graceful shutdown.
      daemon.logger.info('stop', 'Signal received again; the shutdown continues.', { inFlight: daemon.inFlight });
    }
  };
  process.on('unhandledRejection', (err) => {
    daemon.logger.error('start', 'Unhandled promise rejection.', { err: err instanceof Error ? err.stack : String(err) });
  });
  process.on('uncaughtException', (err) => {
    daemon.logger.error('start', 'Uncaught exception.', { err: err.stack });
  });
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  await daemon.start();
}

async function stop(daemon: Daemon, server: Server): Promise<void> {
  daemon.logger.info('stop', 'Graceful shutdown started.', { inFlight: daemon.inFlight });
  await daemon.stop();
  server.refuseConnections();
  await new Promise((resolve) => setTimeout(resolve, kConnectionDrainMs));
  await server.close();
  await daemon.close();
  process.exit(kExit.ok);
}
