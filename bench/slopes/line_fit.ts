/** Least squares fit of a straight line to measured points. */

/** A measured point: the size x and the cost y. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line and the quality of the fit. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, in units of y. */
  readonly residual: number;
}

/** Fits a line; its slope is NaN without at least two different x. */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = mean(points.map(p => p.x));
  const meanY = mean(points.map(p => p.y));
  const variance = mean(points.map(p => (p.x - meanX) ** 2));
  const covariance = mean(points.map(p => (p.x - meanX) * (p.y - meanY)));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const squaredResiduals = points.map(
    p => (p.y - intercept - slope * p.x) ** 2,
  );
  return {slope, intercept, residual: Math.sqrt(mean(squaredResiduals))};
}

/** Returns the y of the line at x. */
export function valueAt(fit: LineFit, x: number): number {
  return fit.intercept + fit.slope * x;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
