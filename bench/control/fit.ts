/**
 * Copyright (c) The gentiandrum authors.
 * SPDX-License-Identifier: Apache-2.0
 */

/** Least-squares linear regression. */

/** A fitted line. */
export interface LinearFit {
  slope: number;
  intercept: number;
  /** Standard error of the slope; NaN with fewer than three points. */
  slopeError: number;
}

/** Fits a line to points by least squares. */
export function fitLine(points: readonly [x: number, y: number][]): LinearFit {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residuals = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
  return { slope, intercept, slopeError: Math.sqrt(residuals / (n - 2) / sxx) };
}
