/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Nest module that provides the daemon to the controllers. */

import { type DynamicModule, Module } from '@nestjs/common';
import { Daemon } from '../app/daemon.js';
import { ControlController } from './controlController.js';

@Module({})
export class AppModule {
  static for(daemon: Daemon): DynamicModule {
    return { module: AppModule, controllers: [ControlController], providers: [{ provide: Daemon, useValue: daemon }] };
  }
}
