/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Types of the WebAssembly build of llhttp in undici, and of the runtime's WebAssembly API. */

declare module 'undici/lib/llhttp/llhttp-wasm.js' {
  const code: Uint8Array;
  export = code;
}

declare namespace WebAssembly {
  type Module = object;
  const Module: new (code: Uint8Array) => Module;

  interface Instance {
    readonly exports: unknown;
  }
  const Instance: new (module: Module, imports: Record<string, Record<string, (...args: number[]) => number>>) => Instance;

  interface Memory {
    readonly buffer: ArrayBuffer;
  }
}
