/** Results as tables for readers. */
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

/** Lays rows out in columns. */
export function table(rows: readonly Row[]): string {
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

/** Returns the tables of one result. */
export function describe(r: result.RunResult): string {
  const rows = r.phases.flatMap(p => p.classes.map(c => classRow(p, c)));
  return [title(r), table([CLASS_HEADER, ...rows]), totals(r), ''].join('\n');
}

/** Returns one line for each result. */
export function overview(results: readonly result.RunResult[]): string {
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
  return table([header, ...results.map(overviewRow)]);
}

/** Returns a line for each target. */
export function describeVerdicts(verdicts: readonly targets.Verdict[]): string {
  return verdicts
    .map(v => `${state(v)} ${v.deployment}: ${v.target}: ${v.seen}`)
    .join('\n');
}

/** Returns two lists of results side by side, matched by scenario, deployment, policy and seed. */
export function compare(
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
  const rows = after.flatMap(a => {
    const b = before.find(x => title(x) === title(a));
    return b === undefined ? [] : compareRows(b, a);
  });
  return table([header, ...rows]);
}

function compareRows(b: result.RunResult, a: result.RunResult): readonly Row[] {
  return a.phases.flatMap((phase, i) =>
    phase.classes.map((c, j) => {
      const old = b.phases[i].classes[j];
      return [
        title(a),
        c.className,
        phase.name,
        pair(old.p50Ms, c.p50Ms),
        pair(old.p99Ms, c.p99Ms),
        pair(old.p999Ms, c.p999Ms),
        pair(old.good, c.good),
      ];
    }),
  );
}

function pair(before: number, after: number): string {
  return `${rounded(before)} -> ${rounded(after)}`;
}

function title(r: result.RunResult): string {
  return `${r.deployment} ${r.scenario} ${r.policy} seed ${r.seed}`;
}

function classRow(p: result.PhaseResult, c: result.ClassResult): Row {
  return [
    c.className,
    p.name,
    `${c.received}`,
    percent(c.good, c.received),
    rounded(c.p50Ms),
    rounded(c.p99Ms),
    rounded(c.p999Ms),
    entriesOf(c.failures),
  ];
}

function totals(r: result.RunResult): string {
  return [
    `good answers ${r.goodputPerSecond.toFixed(0)}/s`,
    `sent/received ${r.sentPerReceived.toFixed(3)}, runs/received ${r.runsPerReceived.toFixed(3)}`,
    `load notices ${r.noticesPerNodeSecond.toFixed(1)}/s, ` +
      `${r.noticeBytesPerNodeSecond.toFixed(0)} B/s a node`,
    `runs above capacity: cold ${r.coldBreaches}, ` +
      `cold with no signal ${r.silentColdBreaches}, warm ${r.slotBreaches}`,
    `broken promises: ${entriesOf(r.breaches) || 'none'}`,
    ...Object.entries(r.examples).map(
      ([kind, example]) => `  ${kind}: ${example}`,
    ),
    `counters: ${entriesOf(r.counters)}`,
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
    rounded(Math.max(...interactive.map(c => c.p99Ms))),
    rounded(Math.max(...interactive.map(c => c.p999Ms))),
    r.goodputPerSecond.toFixed(0),
    percent(received - good, received),
    r.sentPerReceived.toFixed(3),
    `${r.coldBreaches}`,
    entriesOf(r.breaches) || 'none',
  ];
}

function state(v: targets.Verdict): string {
  if (v.met === undefined) return 'NOT RUN';
  return v.met ? 'PASS   ' : 'MISSED ';
}

function entriesOf(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, n]) => `${name} ${n}`)
    .join(', ');
}

function percent(part: number, whole: number): string {
  return whole === 0 ? '-' : ((100 * part) / whole).toFixed(2);
}

function rounded(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
