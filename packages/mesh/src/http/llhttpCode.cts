/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * WebAssembly code of llhttp from undici. Exported inside an object, because a bundler copies each property of an export, and a
 * plain buffer has one property for each byte.
 */

import code = require('undici/lib/llhttp/llhttp-wasm.js');

export = { code };
