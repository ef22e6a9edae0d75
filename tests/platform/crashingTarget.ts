/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for a target whose process ends while some requests run on it, and is started again on its port. */

import { type SeenRequest, UpstreamStandin } from './upstreamStandin.js';

/** Time after which an ended target is back, in milliseconds. */
const kRestartDelayMs = 1_500;
/** Time for which a request that ends the target runs before it does, in milliseconds. */
const kCrashDelayMs = 30;

/** One incarnation after the other on the same port. */
export class CrashingTarget {
  /** Address at which the daemon of the host takes announcements. */
  control = '';
  current: UpstreamStandin;
  /** Ends so far. */
  crashes = 0;
  private _starts = 1;
  private _closed = false;
  private _restartTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _name: string,
    private readonly _service: string,
    private readonly _crashesTarget: (req: SeenRequest) => boolean,
  ) {
    this.current = this._create();
  }

  /** Listens on the loopback. */
  async start(): Promise<void> {
    await this.current.start();
  }

  /** Ends the process with all its connections, for a while. */
  crash(): void {
    if (this._restartTimer || this._closed) {
      return;
    }
    this.crashes++;
    this.current.close();
    this._restartTimer = setTimeout(() => {
      this._restartTimer = undefined;
      void this._restart();
    }, kRestartDelayMs);
  }

  /** Ends for good. */
  close(): void {
    this._closed = true;
    clearTimeout(this._restartTimer);
    this.current.close();
  }

  private async _restart(): Promise<void> {
    const [, port = '0'] = this.current.address.split(':');
    this._starts++;
    this.current = this._create();
    this.current.port = Number(port);
    await this.current.start();
    if (this._closed) {
      this.current.close();
      return;
    }
    await this.current.sendHeartbeat(this.control);
  }

  private _create(): UpstreamStandin {
    const target = new UpstreamStandin(`${this._name}-${this._starts}`, this._service);
    target.onRun = (req) => {
      if (this._crashesTarget(req)) {
        setTimeout(() => {
          if (this.current === target) {
            this.crash();
          }
        }, kCrashDelayMs);
        // Its answer never comes.
        return new Promise(() => undefined);
      }
      return undefined;
    };
    return target;
  }
}
