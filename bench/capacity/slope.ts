/**
 * Linear regression over measured points, by least squares.
 */

/** The value measured at a size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Returns the increase of the value for each unit of size. */
export const computeSlope = (points: readonly Point[]): number => {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  const covariance = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  return covariance / variance;
};
