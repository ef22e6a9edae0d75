/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Nested `describe` blocks for ava: joins the titles of the blocks and the test. */

import test, { type ExecutionContext } from 'ava';

const kSeparator = ' › ';
const titles: string[] = [];

/** Groups the tests that `body` declares. */
export function describe(title: string, body: () => void): void {
  titles.push(title);
  body();
  titles.pop();
}

/** Declares a test whose title starts with "should". */
export function it(title: string, body: (t: ExecutionContext) => void | Promise<void>): void {
  test([...titles, title].join(kSeparator), body);
}

/** Declares a test that runs serially within its file, as tests with a fake clock or a shared fleet must. */
export function itSerial(title: string, body: (t: ExecutionContext) => void | Promise<void>): void {
  test.serial([...titles, title].join(kSeparator), body);
}
