/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Nested `describe` blocks for ava: titles are joined, and nothing else is added. */

import test, { type ExecutionContext } from 'ava';

const kSeparator = ' › ';
const titles: string[] = [];

/** Groups the tests that `body` declares. */
export function describe(title: string, body: () => void): void {
  titles.push(title);
  body();
  titles.pop();
}

/** Declares a test; its title reads "should …". */
export function it(title: string, body: (t: ExecutionContext) => void | Promise<void>): void {
  test([...titles, title].join(kSeparator), body);
}

/** Declares a test that no other of its file runs beside: for those that hold the clock, or whole fleets. */
export function itSerial(title: string, body: (t: ExecutionContext) => void | Promise<void>): void {
  test.serial([...titles, title].join(kSeparator), body);
}
