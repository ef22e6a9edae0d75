/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Sends metrics to statsd. Names and tags are listed in docs/OPERATORS.md. */

import { StatsD } from 'hot-shots';

const kSampleRate = 1;

/** Metrics of one daemon. Without an address, metrics are not sent. */
export class Metrics {
  private readonly _statsd: StatsD;

  constructor(address: string | undefined, tags: Record<string, string>) {
    const [host, port] = (address ?? '127.0.0.1:8125').split(':');
    this._statsd = new StatsD({
      host,
      port: Number(port),
      prefix: 'gentiandrum.',
      globalTags: tags,
      mock: address === undefined,
      maxBufferSize: 1_400,
      errorHandler: () => undefined,
    });
  }

  /** Increments a counter. */
  count(name: string, tags: Record<string, string> = {}, increment = 1): void {
    this._statsd.increment(name, increment, kSampleRate, tags);
  }

  /** Sets a gauge. */
  gauge(name: string, value: number, tags: Record<string, string> = {}): void {
    this._statsd.gauge(name, value, kSampleRate, tags);
  }

  /** Records a duration in milliseconds. */
  timing(name: string, ms: number, tags: Record<string, string> = {}): void {
    this._statsd.timing(name, ms, kSampleRate, tags);
  }

  /** Sends buffered metrics and closes the socket. */
  close(): void {
    this._statsd.close(() => undefined);
  }
}
