/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Stands for an optional module that is left out of the bundle: whoever asks for it goes on without. */

throw new Error('left out of the bundle');
