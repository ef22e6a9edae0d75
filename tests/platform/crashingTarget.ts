/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stand-in for a target that crashes on some requests and restarts on the same port. */

import { type SeenRequest, UpstreamStandin } from './upstreamStandin.js';

/** Times of a target that crashes, in milliseconds. */
export interface CrashTiming {
  /** Time for which a request runs before it crashes the target; undefined if only {@link CrashingTarget.crash} does. */
  runMs: number | undefined;
  /** Time between a crash and the restart; undefined if only {@link CrashingTarget.restart} starts it again. */
  restartMs: number | undefined;
  /** Time for which the crashed target accepts connections after it has closed those that were open. */
  listenMs: number;
}

const kDefaultTiming: CrashTiming = { runMs: 30, restartMs: 1_500, listenMs: 0 };

/** Runs successive incarnations of a target on one port. */
export class CrashingTarget {
  /** Address at which the daemon of the host accepts announcements. */
  control = '';
  current: UpstreamStandin;
  crashes = 0;
  /** Whether a request that crashes the target is running. */
  doomed = false;
  private _down = false;
  private readonly _timing: CrashTiming;
  private _starts = 1;
  private _closed = false;
  private _restartTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _name: string,
    private readonly _service: string,
    private readonly _crashesTarget: (req: SeenRequest) => boolean,
    timing: Partial<CrashTiming> = {},
  ) {
    this._timing = { ...kDefaultTiming, ...timing };
    this.current = this._create();
  }

  /** Listens on the loopback interface. */
  async start(): Promise<void> {
    await this.current.start();
  }

  /** Closes all connections as a crash does, and schedules the restart. */
  crash(): void {
    if (this._down || this._closed) {
      return;
    }
    this.crashes++;
    this._down = true;
    this.doomed = false;
    if (this._timing.listenMs > 0) {
      this.current.exitSlowly(this._timing.listenMs);
    } else {
      this.current.close();
    }
    if (this._timing.restartMs !== undefined) {
      this._restartTimer = setTimeout(() => {
        void this.restart();
      }, this._timing.restartMs);
    }
  }

  /** Whether the target has crashed and not started again. */
  get down(): boolean {
    return this._down;
  }

  /** Stops without a restart. */
  close(): void {
    this._closed = true;
    clearTimeout(this._restartTimer);
    this.current.close();
  }

  /** Starts the next incarnation. */
  async restart(): Promise<void> {
    const [, port = '0'] = this.current.address.split(':');
    this._starts++;
    this.current = this._create();
    this.current.port = Number(port);
    await this.current.start();
    if (this._closed) {
      this.current.close();
      return;
    }
    this._down = false;
    await this.current.sendHeartbeat(this.control);
  }

  private _create(): UpstreamStandin {
    const target = new UpstreamStandin(`${this._name}-${this._starts}`, this._service);
    target.onRun = (req) => {
      if (this._crashesTarget(req)) {
        this.doomed = true;
        if (this._timing.runMs !== undefined) {
          setTimeout(() => {
            if (this.current === target) {
              this.crash();
            }
          }, this._timing.runMs);
        }
        // The request never completes.
        return new Promise(() => undefined);
      }
      return undefined;
    };
    return target;
  }
}
