/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Command-line client for operators. */

export { main } from './client/main.js';
