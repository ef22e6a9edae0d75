#!/usr/bin/env node
/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

import { setFlagsFromString } from 'node:v8';

// The daemon shares its host with a target, so it trades speed for a smaller heap. The flags must be set before other modules load.
setFlagsFromString('--max-semi-space-size=2');
setFlagsFromString('--semi-space-growth-factor=1');
setFlagsFromString('--optimize-for-size');

const { main } = await import('../dist/server/main.js');
await main(process.argv);
