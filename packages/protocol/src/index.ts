/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Schemas shared by daemons, targets, callers and operators, and their inferred types. */

export * from './apiSchemas.js';
export * from './configSchema.js';
export * from './meshConfigSchema.js';
export * from './meshSettingsSchema.js';
export * from './recordSchemas.js';
export * from './settingsSchema.js';
