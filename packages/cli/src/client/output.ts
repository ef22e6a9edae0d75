/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Output and exit codes of commands. */

/** Exit codes, documented in docs/OPERATORS.md. */
export const kExit = {
  ok: 0,
  /** Client error, or an error response without an exit code of its own. */
  failed: 1,
  /** Usage error: unknown command, missing argument, unreadable or invalid file. */
  usage: 2,
  /** The patch conflicts with another one, or its base is not the current version. */
  conflict: 3,
  /** The daemon or the platform's log is unavailable. */
  unavailable: 4,
  /** The version is not yet in force on all daemons. */
  incomplete: 5,
} as const;

export type ExitCode = (typeof kExit)[keyof typeof kExit];

/** Error that terminates a command with an exit code. */
export class CommandError extends Error {
  constructor(
    readonly code: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}

export function printLine(text = ''): void {
  process.stdout.write(`${text}\n`);
}

/** Prints rows as aligned columns. */
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
