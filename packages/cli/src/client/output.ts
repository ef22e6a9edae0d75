/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** What commands print, and the exit codes they end with. */

/** Exit codes, documented in docs/OPERATORS.md. */
export const kExit = {
  ok: 0,
  /** A fault of the client or an answer that can't be read. */
  failed: 1,
  /** Wrong use: unknown command, missing argument, unreadable or invalid file. */
  usage: 2,
  /** The patch lost to another, or its base is not the current version. */
  conflict: 3,
  /** The daemon, or the platform's log behind it, can't be reached. */
  unavailable: 4,
  /** The version is not in force everywhere yet. */
  incomplete: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof kExit)[keyof typeof kExit];

/** An end of a command that is not success. */
export class CommandError extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

/** Prints a line. */
export function printLine(text = ''): void {
  process.stdout.write(`${text}\n`);
}

/** Prints rows in columns. */
export function printTable(head: string[], rows: string[][]): void {
  const all = [head, ...rows];
  const widths = head.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)));
  for (const row of all) {
    printLine(
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    );
  }
}
