/** A cost measured at several sizes of the system. */
import * as lineFit from './line_fit.js';

/** Measured points of a cost; `role`, `size` and `cost` are the texts of the printed table. */
export interface Measurement {
  readonly role: string;
  readonly size: string;
  readonly cost: string;
  readonly points: readonly lineFit.Point[];
}

/** Formats the points and the fitted line as one row of a Markdown table. */
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
