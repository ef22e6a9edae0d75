/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Settles the keys that one daemon decides on in memory, without the log: numbered keys of the namespaces it minted, and keys derived for
 * calls in call chains that entered on it. When the daemon restarts, calls with its earlier keys can no longer run.
 */

/** Whether a claimant may run the call of a key. */
export type KeyVerdict =
  { kind: 'granted' } | { kind: 'held'; holder: string; address: string } | { kind: 'mismatch' } | { kind: 'unknown' };

/** A request to run under a key. */
export interface KeyBid {
  key: string;
  body: string;
  /** Identifies the bidding call. A repeated bid gets the same verdict. */
  claimant: string;
  address: string;
  /** An earlier claimant of the key that has given up its claim without a run. */
  replaces?: string | undefined;
}

interface Grant {
  body: string;
  claimant: string;
  address: string;
}

/** Maximum number of keys per namespace. Lower sequence numbers count as used. */
const kMaxKeysPerNamespace = 10_000;
const kMaxNamespaces = 10_000;

interface Namespace {
  grants: Map<number, Grant>;
  /** Lower sequence numbers are evicted and count as used. */
  minSequence: number;
}

/** Settles the keys of one daemon. */
export class KeySettler {
  private readonly _namespaces = new Map<string, Namespace>();
  private readonly _roots = new Map<string, Map<string, Grant>>();

  /** Opens a namespace for a caller, and evicts the oldest one above the limit. */
  openNamespace(name: string): void {
    this._namespaces.set(name, { grants: new Map(), minSequence: 0 });
    const oldest = this._namespaces.keys().next();
    if (this._namespaces.size > kMaxNamespaces && !oldest.done) {
      this._namespaces.delete(oldest.value);
    }
  }

  /** Settles a numbered key, `namespace/sequence`. */
  settleMinted(bid: KeyBid): KeyVerdict {
    const slash = bid.key.lastIndexOf('/');
    const namespace = bid.key.slice(0, slash);
    const sequence = Number(bid.key.slice(slash + 1));
    const state = this._namespaces.get(namespace);
    if (!state || sequence < state.minSequence) {
      return { kind: 'unknown' };
    }
    const verdict = settle(state.grants.get(sequence), bid);
    if (verdict.kind === 'granted') {
      state.grants.set(sequence, bid);
      this._evictLowest(state);
    }
    return verdict;
  }

  /** Starts settling the derived keys in the chain of a root request that is being served on this daemon. */
  openRoot(root: string): void {
    if (!this._roots.has(root)) {
      this._roots.set(root, new Map());
    }
  }

  /** Removes a root request that is over, so that no further call of its chain can start. */
  closeRoot(root: string): void {
    this._roots.delete(root);
  }

  /** Settles a key that was derived in the chain of a root request. */
  settleDerived(root: string, bid: KeyBid): KeyVerdict {
    const grants = this._roots.get(root);
    if (!grants) {
      return { kind: 'unknown' };
    }
    const verdict = settle(grants.get(bid.key), bid);
    if (verdict.kind === 'granted') {
      grants.set(bid.key, bid);
    }
    return verdict;
  }

  private _evictLowest(namespace: Namespace): void {
    if (namespace.grants.size <= kMaxKeysPerNamespace) {
      return;
    }
    const lowest = Math.min(...namespace.grants.keys());
    namespace.grants.delete(lowest);
    namespace.minSequence = lowest + 1;
  }
}

function settle(grant: Grant | undefined, bid: KeyBid): KeyVerdict {
  if (!grant) {
    return { kind: 'granted' };
  }
  if (grant.body !== bid.body) {
    return { kind: 'mismatch' };
  }
  if (grant.claimant === bid.claimant || grant.claimant === bid.replaces) {
    return { kind: 'granted' };
  }
  return { kind: 'held', holder: grant.claimant, address: grant.address };
}
