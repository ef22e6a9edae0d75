/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Writes structured, rate-limited log lines to standard output. Lines of low priority have a separate budget, so they cannot displace
 * lines about state changes and failures. The next line written reports the number of omitted lines.
 */

import { createLogger, format, type Logger as WinstonLogger, transports } from 'winston';

/** Components of the daemon, used as prefixes of log lines. */
export type EventPart =
  'calls' | 'config' | 'gate' | 'log' | 'memory' | 'peers' | 'quarantine' | 'start' | 'stop' | 'target' | 'workspaces';

/** Structured fields of a log line. */
export type EventFields = Record<string, unknown>;

/** Maximum number of lines about failures and state changes per second. */
const kLinesPerSecond = 30;
/** Maximum number of bytes buffered for a slow reader of standard output; lines beyond it are omitted. */
const kMaxPendingBytes = 256 * 1024;

interface Budget {
  perSecond: number;
  remaining: number;
  omitted: number;
}

/** Logger of one daemon. */
export class EventLog {
  private readonly _winston: WinstonLogger;
  private readonly _lowPriority: Budget;
  private readonly _normal: Budget;
  private _second = 0;
  private _omitted = 0;

  constructor(
    private readonly _host: string,
    lowPriorityLinesPerSecond: number,
    linesPerSecond = kLinesPerSecond,
  ) {
    this._lowPriority = { perSecond: lowPriorityLinesPerSecond, remaining: lowPriorityLinesPerSecond, omitted: 0 };
    this._normal = { perSecond: linesPerSecond, remaining: linesPerSecond, omitted: 0 };
    this._winston = createLogger({
      format: format.combine(format.timestamp(), format.json()),
      // The lint rule does not recognize winston's own subclass, because its types come from two copies of one declaration.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new transports.Stream({ stream: process.stdout })],
    });
  }

  /** Number of lines omitted since the start. */
  get omitted(): number {
    return this._omitted;
  }

  /** Logs a frequent event, such as a successful request; `fields` is called only if the line is written. */
  infoLowPriority(part: EventPart, text: string, fields: () => EventFields): void {
    if (this._consume(this._lowPriority)) {
      this._write(this._lowPriority, 'info', part, text, fields());
    }
  }

  /** Logs a state change or a failed request. */
  info(part: EventPart, text: string, fields: EventFields = {}): void {
    if (this._consume(this._normal)) {
      this._write(this._normal, 'info', part, text, fields);
    }
  }

  /** Logs a problem that may need the attention of an operator. */
  warn(part: EventPart, text: string, fields: EventFields = {}): void {
    if (this._consume(this._normal)) {
      this._write(this._normal, 'warn', part, text, fields);
    }
  }

  private _consume(budget: Budget): boolean {
    const second = Math.floor(performance.now() / 1_000);
    if (second !== this._second) {
      this._second = second;
      this._lowPriority.remaining = this._lowPriority.perSecond;
      this._normal.remaining = this._normal.perSecond;
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
