/** Command line of the load tool. */
import * as fs from 'node:fs';
import * as clipanion from 'clipanion';
import * as typanion from 'typanion';

import * as deployments from './deployments.js';
import * as experiment from './experiment.js';
import * as policies from './policies.js';
import * as report from './report.js';
import * as result from './result.js';
import * as scenarios from './scenarios.js';
import * as targets from './targets.js';

const DEFAULT_SEED = 1;
const DEFAULT_DEPLOYMENTS = ['caroni', 'certificadora'];

function readResults(file: string): readonly result.RunResult[] {
  return JSON.parse(
    fs.readFileSync(file, 'utf8'),
  ) as readonly result.RunResult[];
}

/** Returns `value`, or throws a UsageError if it is undefined. */
function requireFound<T>(kind: string, name: string, value: T | undefined): T {
  if (value === undefined) {
    throw new clipanion.UsageError(`unknown ${kind}: ${name} (see --list)`);
  }
  return value;
}

/** Runs scenarios in virtual time and prints results as seen by callers. */
class BenchCommand extends clipanion.Command {
  static override readonly paths = [clipanion.Command.Default];
  static override readonly usage = clipanion.Command.Usage({
    description: 'Run scenarios of load and faults in virtual time.',
    examples: [
      ['All scenarios and policies', '$0'],
      ['One scenario on three seeds', '$0 --scenario noisy --seeds 3'],
      [
        'Two earlier results side by side',
        '$0 --compare before.json after.json',
      ],
    ],
  });

  readonly scenarios = clipanion.Option.Array('--scenario', {
    description: 'Scenario to run; may be repeated.',
  });
  readonly deployments = clipanion.Option.Array('--deployment', {
    description: 'Deployment to run; may be repeated.',
  });
  readonly policies = clipanion.Option.Array('--policy', {
    description: 'Policy to run; may be repeated.',
  });
  readonly seed = clipanion.Option.String('--seed', `${DEFAULT_SEED}`, {
    description: 'First seed.',
    validator: typanion.isNumber(),
  });
  readonly seeds = clipanion.Option.String('--seeds', '1', {
    description: 'Number of seeds.',
    validator: typanion.isNumber(),
  });
  readonly json = clipanion.Option.String('--json', {
    description: 'File to which results are written.',
  });
  readonly comparison = clipanion.Option.String('--compare', {
    arity: 2,
    description: 'Two files of results to show side by side.',
  });
  readonly list = clipanion.Option.Boolean('--list', false, {
    description: 'List scenarios, deployments and policies.',
  });
  readonly brief = clipanion.Option.Boolean('--brief', false, {
    description: 'Print one line for each result only.',
  });

  override async execute(): Promise<void> {
    if (this.list) return this.print(formatList());
    if (this.comparison !== undefined) return this.compare(this.comparison);
    this.runAll();
  }

  private compare(files: readonly [string, string]): void {
    const [before, after] = files.map(readResults);
    this.print(report.formatComparison(before, after));
  }

  private runAll(): void {
    const results = this.experiments().map(options => {
      const r = experiment.run(options);
      if (!this.brief) this.print(report.formatResult(r));
      return r;
    });
    this.print(report.formatOverview(results));
    this.print(report.formatTargetResults(targets.evaluateTargets(results)));
    if (this.json !== undefined) {
      fs.writeFileSync(this.json, `${JSON.stringify(results, undefined, 1)}\n`);
    }
  }

  private experiments(): readonly experiment.ExperimentOptions[] {
    const scenarioNames =
      this.scenarios ?? scenarios.SCENARIOS.map(s => s.name);
    const deploymentNames = this.deployments ?? DEFAULT_DEPLOYMENTS;
    const policyNames = this.policies ?? policies.DEFAULT_POLICIES;
    const seeds = Array.from(
      {length: this.seeds},
      (unused, i) => this.seed + i,
    );
    return deploymentNames.flatMap(deploymentName => {
      const build = requireFound(
        'deployment',
        deploymentName,
        deployments.DEPLOYMENTS[deploymentName],
      );
      return scenarioNames.flatMap(scenarioName => {
        const scenario = requireFound(
          'scenario',
          scenarioName,
          scenarios.findScenario(scenarioName),
        );
        return policyNames.flatMap(policyName => {
          const policy = requireFound(
            'policy',
            policyName,
            policies.findPolicy(policyName),
          );
          return seeds.map(seed => ({
            deployment: build(),
            scenario,
            policy,
            seed,
          }));
        });
      });
    });
  }

  private print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }
}

function formatList(): string {
  const rows = [
    ...scenarios.SCENARIOS.map(s => ['scenario', s.name, s.description]),
    ...Object.keys(deployments.DEPLOYMENTS).map(name => [
      'deployment',
      name,
      '',
    ]),
    ...policies.POLICIES.map(p => ['policy', p.name, '']),
  ];
  return report.formatTable(rows);
}

await clipanion.runExit({binaryName: 'npm run bench --'}, BenchCommand);
