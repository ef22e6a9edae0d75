/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Structured logs: one JSON object a line on standard output. */

import { createLogger, format, type Logger as WinstonLogger, transports } from 'winston';

/** Parts of the daemon, the fixed prefixes of its log lines. */
export type LogPart = 'config' | 'gate' | 'http' | 'keys' | 'log' | 'members' | 'quarantine' | 'route' | 'start' | 'stop' | 'target';
/** Values that go with a line. */
export type LogFields = Record<string, unknown>;

/** Writes log lines of one daemon. */
export class Logger {
  private readonly _winston: WinstonLogger;

  constructor(
    level: string,
    private readonly _daemon: string,
  ) {
    this._winston = createLogger({
      level,
      format: format.combine(format.timestamp(), format.json()),
      // The rule takes winston's own subclass for a stranger: its types come from two copies of one declaration.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new transports.Console()],
    });
  }

  /** Writes a line of ordinary interest. */
  info(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('info', part, text, fields);
  }

  /** Writes a line of interest only to developers. */
  debug(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('debug', part, text, fields);
  }

  /** Writes a line about something that an operator may have to look at. */
  warn(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('warn', part, text, fields);
  }

  /** Writes a line about a fault of the daemon itself. */
  error(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('error', part, text, fields);
  }

  private _write(level: 'info' | 'debug' | 'warn' | 'error', part: LogPart, text: string, fields: LogFields): void {
    this._winston.log(level, `${part}: ${text}`, { daemon: this._daemon, ...fields });
  }
}
