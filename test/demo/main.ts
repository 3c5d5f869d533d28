/** Demonstration on loopback: in each deployment a data centre goes out and returns under load. */
import * as util from 'node:util';

import * as randomSource from '../../src/common/random_source.js';
import * as caller from './caller.js';
import * as deployments from './deployments.js';
import * as runningDeployment from './running_deployment.js';

const DEFAULT_SEED = 20_261_203;
const REQUESTS_PER_SECOND = 120;
const LOAD_MS = 11_000;
/** Duration of the load before the data centre is taken out. */
const LOAD_BEFORE_OUT_MS = 1_500;
/** Time within which a data centre that is taken out must stop getting requests. */
const MAX_OUT_DELAY_MS = 3_000;
/** Time after that in which runs in the data centre are counted. */
const OBSERVATION_MS = 2_000;

/** Result of one deployment; printed with `--json`. */
interface DeploymentResult {
  readonly deployment: string;
  readonly processes: number;
  readonly dataCentreOut: string;
  /** Runs begun in the data centre while it was out, after `MAX_OUT_DELAY_MS`. */
  readonly runsWhileOut: number;
  /** Runs begun in it after its return. */
  readonly runsAfterReturn: number;
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
  readonly classes: readonly caller.ClassResult[];
}

function progress(text: string): void {
  process.stderr.write(`${text}\n`);
}

async function pause(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}

/** Takes a data centre out and returns it, and counts the runs begun in it meanwhile. */
async function takeOutAndReturn(
  running: runningDeployment.RunningDeployment,
  dataCentre: string,
): Promise<Pick<DeploymentResult, 'runsWhileOut' | 'runsAfterReturn'>> {
  await pause(LOAD_BEFORE_OUT_MS);
  progress(`${running.deployment.name}: ${dataCentre} out`);
  await running.runCommand(
    'data-centre',
    'out',
    dataCentre,
    '--reason',
    'demonstration',
  );
  await pause(MAX_OUT_DELAY_MS);
  const atMaxDelay = await running.runsIn(dataCentre);
  await pause(OBSERVATION_MS);
  const atReturn = await running.runsIn(dataCentre);
  await running.runCommand(
    'data-centre',
    'return',
    dataCentre,
    '--reason',
    'demonstration over',
  );
  progress(`${running.deployment.name}: ${dataCentre} returned`);
  await pause(MAX_OUT_DELAY_MS);
  const afterReturn = await running.runsIn(dataCentre);
  return {
    runsWhileOut: atReturn - atMaxDelay,
    runsAfterReturn: afterReturn - atReturn,
  };
}

async function demonstrate(
  deployment: deployments.Deployment,
  seed: number,
): Promise<DeploymentResult> {
  progress(`${deployment.name}: starting`);
  await using running =
    await runningDeployment.RunningDeployment.start(deployment);
  const random = new randomSource.SeededRandom(seed);
  const callers = new caller.Caller(deployment.kinds, running.pairs, random);
  progress(
    `${deployment.name}: each kind of request through each of ${running.pairs.length} nodes`,
  );
  await callers.sendEachKind();
  progress(`${deployment.name}: load`);
  const [dataCentreOut] = deployment.dataCentres;
  const [runs] = await Promise.all([
    takeOutAndReturn(running, dataCentreOut),
    callers.sendLoad(REQUESTS_PER_SECOND, LOAD_MS),
  ]);
  await callers.waitForOpenRequests();
  const counts = await running.runCounts();
  const ranTwice = callers.nonIdempotentIds.filter(
    id => (counts.get(id) ?? 0) > 1,
  );
  return {
    deployment: deployment.name,
    processes: running.pairs.length * 2 + 1,
    dataCentreOut,
    ...runs,
    ranTwice: ranTwice.length,
    classes: callers.results(),
  };
}

function formatTable(result: DeploymentResult): string {
  const rows = result.classes.map(c => {
    const refused = Object.entries(c.refused).map(
      ([reason, n]) => `${reason} ${n}`,
    );
    const cells = [
      c.className.padEnd(20),
      String(c.sent).padStart(6),
      String(c.answered).padStart(8),
      String(c.wrong).padStart(5),
      c.p50Ms.toFixed(1).padStart(8),
      c.p99Ms.toFixed(1).padStart(8),
      refused.join(', '),
    ];
    return cells.join(' ');
  });
  return [
    `${result.deployment}: ${result.processes} processes; ${result.dataCentreOut} was out ` +
      `(runs begun there after the bound: ${result.runsWhileOut}, after its return: ` +
      `${result.runsAfterReturn}); ran twice: ${result.ranTwice}`,
    'class                  sent answered wrong  p50 ms   p99 ms refused',
    ...rows,
  ].join('\n');
}

function succeeded(result: DeploymentResult): boolean {
  const allCorrect = result.classes.every(c => c.wrong === 0 && c.answered > 0);
  return allCorrect && result.ranTwice === 0 && result.runsWhileOut === 0;
}

const {values} = util.parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    seed: {type: 'string', default: String(DEFAULT_SEED)},
  },
});
const seed = Number(values.seed);
const results = await Promise.all(
  deployments.DEPLOYMENTS.map(shape => demonstrate(shape, seed)),
);
for (const result of results) console.log(formatTable(result) + '\n');
const ok = results.every(succeeded);
console.log(
  ok
    ? 'every answer was complete and matched its request; no non-idempotent request ran twice'
    : 'FAILED',
);
if (values.json) console.log(JSON.stringify({ok, seed, results}));
process.exitCode = ok ? 0 : 1;
