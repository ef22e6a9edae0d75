/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Command-line interface of `gentiandrum`. */

import { cac } from 'cac';
import { apply, type CommonOptions, diff, drain, get, history, validate } from './configCommands.js';
import { CommandError, type ExitCode, kExit } from './output.js';
import { explain, status } from './statusCommands.js';
import { release, suspects } from './suspectCommands.js';

const kDefaultDaemon = process.env.GENTIANDRUM_DAEMON ?? '127.0.0.1:7400';
const kDefaultWaitSeconds = 10;

/** Runs a command and returns its exit code. */
export async function main(argv: string[]): Promise<ExitCode> {
  const cli = cac('gentiandrum');
  cli.option('--daemon <address>', 'Address of any daemon, IP:PORT; GENTIANDRUM_DAEMON sets the default', { default: kDefaultDaemon });
  cli.option('--json', 'Print JSON');
  cli.help();
  const addWaitOptions = (command: ReturnType<typeof cli.command>): ReturnType<typeof cli.command> =>
    command
      .option('--wait', 'Wait until the version is in force on every daemon')
      .option('--timeout <seconds>', 'Maximum time to wait', { default: kDefaultWaitSeconds })
      .option('--author <name>', 'Author of the change; defaults to the login name');
  addWaitOptions(cli.command('apply <file>', 'Submit a patch (RFC 7396 merge patch in YAML) against a base version'))
    .option('--base <version>', 'Version that the patch is based on')
    .example('  gentiandrum apply surge.yaml --base 41 --wait')
    .action((file: string, options: CommonOptions & { timeout: number }) => apply(file, options));
  cli
    .command('get', 'Print the configuration')
    .option('--at <version>', 'Version to print instead of the current one')
    .example('  gentiandrum get --at 40 --json')
    .action((options: CommonOptions) => get(options));
  cli
    .command('diff <file>', 'Print the changes that a patch would make')
    .example('  gentiandrum diff surge.yaml')
    .action((file: string, options: CommonOptions) => diff(file, options));
  cli.command('history', 'Print the most recent versions').action((options: CommonOptions) => history(options));
  cli
    .command('validate <file>', 'Validate a complete configuration without contacting a daemon')
    .example('  gentiandrum validate examples/tengerline.yaml')
    .action((file: string, options: CommonOptions) => {
      validate(file, options);
    });
  cli.command('status', 'Print zones, daemons, versions, targets and admission levels').action((options: CommonOptions) => status(options));
  addWaitOptions(cli.command('drain <target>', 'Stop sending new requests to a target'))
    .option('--undo', 'Resume sending requests to the target')
    .example('  gentiandrum drain hazards-2 --wait')
    .action((target: string, options: CommonOptions & { timeout: number }) => drain(target, options));
  cli
    .command('explain <request>', 'Print the decisions made for a request and their reasons')
    .example('  gentiandrum explain host-1~lq3x~9')
    .action((request: string, options: CommonOptions) => explain(request, options));
  cli
    .command('suspects', 'Print request fingerprints suspected of crashing targets and whether they are quarantined')
    .example('  gentiandrum suspects --daemon 10.1.0.8:9464')
    .action((options: CommonOptions) => suspects(options));
  cli
    .command('release <kind>', 'Release a suspected or quarantined request fingerprint')
    .example('  gentiandrum release 1k2x9ab-7qz03f')
    .action((fingerprint: string, options: CommonOptions) => release(fingerprint, options));
  return runCommand(cli, argv);
}

async function runCommand(cli: ReturnType<typeof cac>, argv: string[]): Promise<ExitCode> {
  try {
    cli.parse(argv, { run: false });
    if (cli.options.help === true) {
      return kExit.ok;
    }
    if (!cli.matchedCommand) {
      const given = cli.args[0] === undefined ? 'none' : `"${cli.args[0]}"`;
      throw new CommandError(kExit.usage, `expected a command, got ${given}; see gentiandrum --help`);
    }
    await cli.runMatchedCommand();
    return kExit.ok;
  } catch (err) {
    process.stderr.write(`gentiandrum: ${err instanceof Error ? err.message : String(err)}\n`);
    if (err instanceof CommandError) {
      return err.code;
    }
    return err instanceof Error && err.name === 'CACError' ? kExit.usage : kExit.failed;
  }
}
