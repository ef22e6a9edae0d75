#!/usr/bin/env node
/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { setFlagsFromString } from 'node:v8';

// A daemon shares its host with a target: memory counts for more than the last of its speed. Set before anything loads.
setFlagsFromString('--max-semi-space-size=2');
setFlagsFromString('--semi-space-growth-factor=1');
setFlagsFromString('--optimize-for-size');

const { main } = await import('../dist/server/main.js');
await main(process.argv);
