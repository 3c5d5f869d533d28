/** A measured relation between a size of the system and a cost. */
import * as lineFit from './line_fit.js';

/** Points of one cost against one size. */
export interface Measurement {
  readonly role: string;
  readonly size: string;
  readonly cost: string;
  readonly points: readonly lineFit.Point[];
}

/** Formats points, slope, intercept and residual as one table row. */
export function formatRow(m: Measurement): string {
  const points = m.points.map(p => `${p.x}: ${format(p.y)}`).join(', ');
  const fit = lineFit.fitLine(m.points);
  return (
    `| ${m.role} | ${m.cost} | ${m.size} | ${points} | ${format(fit.slope)} | ` +
    `${format(fit.intercept)} | ${format(fit.residual)} |`
  );
}

const SIGNIFICANT_DIGITS = 3;

function format(value: number): string {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toString();
}
