/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Structured logging: one JSON object per line on standard output. */

import { createLogger, format, type Logger as WinstonLogger, transports } from 'winston';

/** Part of the daemon that writes a log line; the prefix of its message. */
export type LogPart =
  'config' | 'gate' | 'http' | 'keys' | 'log' | 'members' | 'memory' | 'quarantine' | 'route' | 'start' | 'stop' | 'target';
/** Additional fields of a log line. */
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
      // The rule does not recognize the subclass, because winston's types come from two copies of one declaration.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new transports.Console()],
    });
  }

  info(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('info', part, text, fields);
  }

  debug(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('debug', part, text, fields);
  }

  /** Logs an event that may need an operator's attention. */
  warn(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('warn', part, text, fields);
  }

  /** Logs an internal error of the daemon. */
  error(part: LogPart, text: string, fields: LogFields = {}): void {
    this._write('error', part, text, fields);
  }

  private _write(level: 'info' | 'debug' | 'warn' | 'error', part: LogPart, text: string, fields: LogFields): void {
    this._winston.log(level, `${part}: ${text}`, { daemon: this._daemon, ...fields });
  }
}
