/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Wires the controllers to the daemon. */

import { type DynamicModule, Module } from '@nestjs/common';
import { Daemon } from '../app/daemon.js';
import { ControlController } from './controlController.js';

/** Module of one daemon. */
@Module({})
export class AppModule {
  /** The module for a daemon. */
  static for(daemon: Daemon): DynamicModule {
    return { module: AppModule, controllers: [ControlController], providers: [{ provide: Daemon, useValue: daemon }] };
  }
}
