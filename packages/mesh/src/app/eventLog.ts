/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Structured log lines on standard output, bounded: ordinary lines take from a budget a second, and what was left out is
 * counted in the next line. Changes of belief and failures have a budget of their own, so that the ordinary can't displace
 * them.
 */

import { createLogger, format, type Logger as WinstonLogger, transports } from 'winston';

/** Parts of the daemon, the fixed prefixes of its log lines. */
export type EventPart = 'calls' | 'config' | 'gate' | 'log' | 'peers' | 'quarantine' | 'start' | 'stop' | 'target' | 'workspaces';

/** Values that go with a line. */
export type EventFields = Record<string, unknown>;

/** Lines about failures and changes of belief that may be written in one second. */
const kNotableLinesPerSecond = 30;
/** Bytes that may wait for a slow reader of standard output; beyond them lines are left out. */
const kMaxPendingBytes = 256 * 1024;

interface Budget {
  perSecond: number;
  remaining: number;
  omitted: number;
}

/** Writes the log lines of one daemon. */
export class EventLog {
  private readonly _winston: WinstonLogger;
  private readonly _ordinary: Budget;
  private readonly _notable: Budget;
  private _second = 0;
  private _omitted = 0;

  constructor(
    private readonly _host: string,
    ordinaryLinesPerSecond: number,
    notableLinesPerSecond = kNotableLinesPerSecond,
  ) {
    this._ordinary = { perSecond: ordinaryLinesPerSecond, remaining: ordinaryLinesPerSecond, omitted: 0 };
    this._notable = { perSecond: notableLinesPerSecond, remaining: notableLinesPerSecond, omitted: 0 };
    this._winston = createLogger({
      format: format.combine(format.timestamp(), format.json()),
      // The rule takes winston's own subclass for a stranger: its types come from two copies of one declaration.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new transports.Stream({ stream: process.stdout })],
    });
  }

  /** Lines left out since the start. */
  get omitted(): number {
    return this._omitted;
  }

  /** One of many alike, such as the end of a request that went well; its values are only made when the line is written. */
  ordinary(part: EventPart, text: string, fields: () => EventFields): void {
    if (this._consume(this._ordinary)) {
      this._write(this._ordinary, 'info', part, text, fields());
    }
  }

  /** A change of what the daemon believes, or a failed request. */
  notable(part: EventPart, text: string, fields: EventFields = {}): void {
    if (this._consume(this._notable)) {
      this._write(this._notable, 'info', part, text, fields);
    }
  }

  /** Something that an operator may have to look at. */
  warn(part: EventPart, text: string, fields: EventFields = {}): void {
    if (this._consume(this._notable)) {
      this._write(this._notable, 'warn', part, text, fields);
    }
  }

  private _consume(budget: Budget): boolean {
    const second = Math.floor(performance.now() / 1_000);
    if (second !== this._second) {
      this._second = second;
      this._ordinary.remaining = this._ordinary.perSecond;
      this._notable.remaining = this._notable.perSecond;
    }
    if (budget.remaining <= 0 || process.stdout.writableLength > kMaxPendingBytes) {
      budget.omitted++;
      this._omitted++;
      return false;
    }
    budget.remaining--;
    return true;
  }

  private _write(budget: Budget, level: 'info' | 'warn', part: EventPart, text: string, fields: EventFields): void {
    const omitted = budget.omitted;
    budget.omitted = 0;
    this._winston.log(level, `${part}: ${text}`, { host: this._host, ...fields, ...(omitted > 0 ? { omitted } : {}) });
  }
}
