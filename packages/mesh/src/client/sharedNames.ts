/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Names that both ends of a link know by number. A text that comes for the second time is introduced, and is a number from
 * then on; what comes once, such as an id, is never kept.
 *
 * On the wire a text is a string, a known one its number, and an introduced one a list that holds it.
 */

/** Most names of a link; when they are used up both ends begin anew, so that names out of use give way. */
const kMaxNames = 1_000;
/** Most texts that are remembered as seen once. */
const kMaxSeen = 500;
/** Longest text that is kept, in characters. */
const kMaxLength = 100;

/** A text as it travels. */
export type EncodedName = string | number | [string];

/** Turns texts into names, at the sending end. */
export class NameWriter {
  private _numbers = new Map<string, number>();
  private _seen = new Set<string>();

  write(text: string): EncodedName {
    const known = this._numbers.get(text);
    if (known !== undefined) {
      return known;
    }
    if (text.length > kMaxLength || this._isFirstUse(text)) {
      return text;
    }
    if (this._numbers.size >= kMaxNames) {
      this._numbers = new Map();
    }
    this._numbers.set(text, this._numbers.size);
    return [text];
  }

  private _isFirstUse(text: string): boolean {
    if (this._seen.delete(text)) {
      return false;
    }
    if (this._seen.size >= kMaxSeen) {
      this._seen = new Set();
    }
    this._seen.add(text);
    return true;
  }
}

/** Turns names back into texts, at the receiving end. */
export class NameReader {
  private _texts: string[] = [];

  /** Throws when the name is none that was introduced. */
  read(name: unknown): string {
    if (typeof name === 'string') {
      return name;
    }
    if (Array.isArray(name) && typeof name[0] === 'string') {
      return this._introduce(name[0]);
    }
    const text = typeof name === 'number' ? this._texts[name] : undefined;
    if (text === undefined) {
      throw new Error(`expected a name that was introduced, got ${String(name)}`);
    }
    return text;
  }

  private _introduce(text: string): string {
    if (this._texts.length >= kMaxNames) {
      this._texts = [];
    }
    this._texts.push(text);
    return text;
  }
}
