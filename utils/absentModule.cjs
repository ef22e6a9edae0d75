/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Replaces an optional module that the bundle excludes: requiring it throws, and its dependents use their fallback. */

throw new Error('optional module excluded from the bundle');
