/** Formats results as plain text tables. */
import * as result from './result.js';
import * as targets from './targets.js';

type Row = readonly string[];

const CLASS_HEADER: Row = [
  'class',
  'phase',
  'received',
  'good %',
  'p50 ms',
  'p99 ms',
  'p99.9 ms',
  'failures',
];

/** Aligns the cells of rows in columns; all rows have the same number of cells. */
export function formatTable(rows: readonly Row[]): string {
  const widths = rows[0].map((unused, i) =>
    Math.max(...rows.map(r => r[i].length)),
  );
  return rows
    .map(r =>
      r
        .map((cell, i) => cell.padEnd(widths[i]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats the classes, totals and counters of one result. */
export function formatResult(r: result.RunResult): string {
  const rows = r.phases.flatMap(p => p.classes.map(c => classRow(p, c)));
  return [
    runTitle(r),
    formatTable([CLASS_HEADER, ...rows]),
    formatTotals(r),
    '',
  ].join('\n');
}

/** Formats one line for each result. */
export function formatOverview(results: readonly result.RunResult[]): string {
  const header = [
    'deployment',
    'scenario',
    'policy',
    'seed',
    'interactive p99 ms',
    'p99.9 ms',
    'good/s',
    'failed %',
    'sent/received',
    'cold breaches',
    'broken promises',
  ];
  return formatTable([header, ...results.map(overviewRow)]);
}

/** Formats one line for each target. */
export function formatTargetResults(
  results: readonly targets.TargetResult[],
): string {
  return results
    .map(r => `${formatStatus(r)} ${r.deployment}: ${r.target}: ${r.observed}`)
    .join('\n');
}

/** Compares two lists of results, matched by scenario, deployment, policy and seed. */
export function formatComparison(
  before: readonly result.RunResult[],
  after: readonly result.RunResult[],
): string {
  const header = [
    'run',
    'class',
    'phase',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'good',
  ];
  const rows = after.flatMap(afterRun => {
    const beforeRun = before.find(r => runTitle(r) === runTitle(afterRun));
    return beforeRun === undefined ? [] : comparisonRows(beforeRun, afterRun);
  });
  return formatTable([header, ...rows]);
}

function comparisonRows(
  before: result.RunResult,
  after: result.RunResult,
): readonly Row[] {
  return after.phases.flatMap((phase, i) =>
    phase.classes.map((c, j) => {
      const beforeClass = before.phases[i].classes[j];
      return [
        runTitle(after),
        c.className,
        phase.name,
        formatChange(beforeClass.p50Ms, c.p50Ms),
        formatChange(beforeClass.p99Ms, c.p99Ms),
        formatChange(beforeClass.p999Ms, c.p999Ms),
        formatChange(beforeClass.good, c.good),
      ];
    }),
  );
}

function formatChange(before: number, after: number): string {
  return `${formatNumber(before)} -> ${formatNumber(after)}`;
}

function runTitle(r: result.RunResult): string {
  return `${r.deployment} ${r.scenario} ${r.policy} seed ${r.seed}`;
}

function classRow(p: result.PhaseResult, c: result.ClassResult): Row {
  return [
    c.className,
    p.name,
    `${c.received}`,
    formatPercent(c.good, c.received),
    formatNumber(c.p50Ms),
    formatNumber(c.p99Ms),
    formatNumber(c.p999Ms),
    formatCounts(c.failures),
  ];
}

function formatTotals(r: result.RunResult): string {
  return [
    `good answers ${r.goodputPerSecond.toFixed(0)}/s`,
    `sent/received ${r.sentPerReceived.toFixed(3)}, runs/received ${r.runsPerReceived.toFixed(3)}`,
    `load notices ${r.noticesPerNodeSecond.toFixed(1)}/s, ` +
      `${r.noticeBytesPerNodeSecond.toFixed(0)} B/s a node`,
    `runs above capacity: cold ${r.coldBreaches}, ` +
      `cold with no signal ${r.silentColdBreaches}, warm ${r.slotBreaches}`,
    `broken promises: ${formatCounts(r.breaches) || 'none'}`,
    ...Object.entries(r.examples).map(
      ([kind, example]) => `  ${kind}: ${example}`,
    ),
    `counters: ${formatCounts(r.counters)}`,
  ].join('\n');
}

function overviewRow(r: result.RunResult): Row {
  const classes = r.phases.flatMap(p => p.classes);
  const interactive = classes.filter(c => c.kind === 'interactive');
  const received = classes.reduce((n, c) => n + c.received, 0);
  const good = classes.reduce((n, c) => n + c.good, 0);
  return [
    r.deployment,
    r.scenario,
    r.policy,
    `${r.seed}`,
    formatNumber(Math.max(...interactive.map(c => c.p99Ms))),
    formatNumber(Math.max(...interactive.map(c => c.p999Ms))),
    r.goodputPerSecond.toFixed(0),
    formatPercent(received - good, received),
    r.sentPerReceived.toFixed(3),
    `${r.coldBreaches}`,
    formatCounts(r.breaches) || 'none',
  ];
}

function formatStatus(r: targets.TargetResult): string {
  if (r.met === undefined) return 'NOT RUN';
  return r.met ? 'PASS   ' : 'MISSED ';
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, n]) => `${name} ${n}`)
    .join(', ');
}

function formatPercent(part: number, whole: number): string {
  return whole === 0 ? '-' : ((100 * part) / whole).toFixed(2);
}

function formatNumber(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
