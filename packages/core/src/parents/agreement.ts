/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** A value on which several runs agree. */
export class Agreement<T> {
  private _value: T | undefined;
  private _count = 0;
  private _differs = false;

  add(value: T | undefined): void {
    this._differs ||= this._count > 0 && value !== this._value;
    this._value = value;
    this._count++;
  }

  get differs(): boolean {
    return this._differs;
  }

  /** The common value; undefined without values, or where they differ. */
  get value(): T | undefined {
    return this._differs ? undefined : this._value;
  }
}
