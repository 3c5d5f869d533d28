/** Straight line through measured points by least squares. */

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line and how well it fits. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, in units of y. */
  readonly residual: number;
}

/** Fits a line; needs at least two different x. */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = mean(points.map(p => p.x));
  const meanY = mean(points.map(p => p.y));
  const spread = mean(points.map(p => (p.x - meanX) ** 2));
  const shared = mean(points.map(p => (p.x - meanX) * (p.y - meanY)));
  const slope = shared / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.map(p => (p.y - intercept - slope * p.x) ** 2);
  return {slope, intercept, residual: Math.sqrt(mean(squares))};
}

/** Value of the line at x. */
export function valueAt(fit: LineFit, x: number): number {
  return fit.intercept + fit.slope * x;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
