/** Prints the table of docs/design/rollouts.md: `rollout_table.js [RUNS]`. */
import * as rolloutTrials from './rollout_trials.js';

const runs = Number(process.argv[2] ?? 1_000);

function print(name: string, summary: rolloutTrials.TrialSummary): void {
  const {moved, rolledBack, verdictS, exposed, maxExcess, maxAfterBadS} =
    summary;
  const cells = [
    name,
    `${moved} / ${rolledBack}`,
    verdictS.join(' / '),
    exposed,
    maxExcess,
    maxAfterBadS,
  ];
  console.log(`| ${cells.join(' | ')} |`);
}

console.log(
  '| version | moved / rolled back | verdict after s, median / latest | ' +
    'largest exposure | nearest to the bound | latest after 50 bad, s |',
);
console.log('|---|---|---|---|---|---|');
const {BAD_VERSIONS, BAD_WEATHER, WEATHERS, runTrials} = rolloutTrials;
for (const [name, badness] of BAD_VERSIONS) {
  print(name, runTrials(runs, badness, BAD_WEATHER));
}
for (const [name, weather] of WEATHERS) {
  print(name, runTrials(runs, {}, weather));
}
