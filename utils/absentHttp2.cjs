/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Replaces `node:http2`, which the bundled daemon does not use, to shorten its start. */

module.exports = { constants: {} };
