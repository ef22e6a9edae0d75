/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Dictionary compression for names on a link. The second occurrence of a text defines a number for it, which later occurrences
 * use; texts that occur once, such as ids, are not stored.
 *
 * On the wire, a string is a plain text, a number is a defined name, and a list with one string defines the next number.
 */

/** Largest number of names of a link. When it is reached both ends clear their dictionaries, which evicts unused names. */
const kMaxNames = 1_000;
/** Largest number of stored texts that have occurred once. */
const kMaxSeen = 500;
/** Longest text that is stored, in characters. */
const kMaxLength = 100;

/** A text as it is sent. */
export type EncodedName = string | number | [string];

/** Encodes texts at the sending end. */
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

/** Decodes texts at the receiving end. */
export class NameReader {
  private _texts: string[] = [];

  /** Throws when `name` is a number without a definition. */
  read(name: unknown): string {
    if (typeof name === 'string') {
      return name;
    }
    if (Array.isArray(name) && typeof name[0] === 'string') {
      return this._define(name[0]);
    }
    const text = typeof name === 'number' ? this._texts[name] : undefined;
    if (text === undefined) {
      throw new Error(`expected a name that is defined on this link, got ${String(name)}`);
    }
    return text;
  }

  private _define(text: string): string {
    if (this._texts.length >= kMaxNames) {
      this._texts = [];
    }
    this._texts.push(text);
    return text;
  }
}
