/** Runs a deployment as processes on loopback. */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';

import * as fleet from '../paths/fleet.js';
import * as deployments from './deployments.js';

const CLI_PROGRAM = path.resolve(import.meta.dirname, '../../src/cli/main.js');

const SERVICE_MS = 4;

/** Owns the processes of one deployment; disposing it ends them. */
export class RunningDeployment implements AsyncDisposable {
  private constructor(
    readonly deployment: deployments.Deployment,
    readonly processes: fleet.Fleet,
    readonly pairs: readonly fleet.Pair[],
  ) {}

  /**
   * Starts the log, all nodes and backend servers, publishes the configuration, and waits until
   * all are ready.
   */
  static async start(
    deployment: deployments.Deployment,
  ): Promise<RunningDeployment> {
    const processes = await fleet.Fleet.start();
    try {
      const pairs = await startPairs(deployment, processes);
      const running = new RunningDeployment(deployment, processes, pairs);
      await running.runCommand(
        'config',
        'publish',
        deployment.configurationFile,
        '--reason',
        'demonstration',
      );
      await processes.waitUntilReady(pairs);
      return running;
    } catch (err) {
      await processes[Symbol.asyncDispose]();
      throw err;
    }
  }

  /**
   * Runs the operators' command line tool against the log of this deployment.
   *
   * @throws Error with its stderr unless it exits with status 0.
   */
  runCommand(...args: readonly string[]): Promise<void> {
    const log = ['--log', `127.0.0.1:${this.processes.logPort}`];
    const all = [CLI_PROGRAM, ...args, ...log];
    return new Promise((resolve, reject) => {
      childProcess.execFile(process.execPath, all, (err, _stdout, stderr) => {
        if (err) reject(new Error(`geraniumloft ${args.join(' ')}: ${stderr}`));
        else resolve();
      });
    });
  }

  /** Number of runs begun so far on all backend servers of a data centre. */
  async runsIn(dataCentre: string): Promise<number> {
    const counts = await Promise.all(
      this.pairs
        .filter(pair => dataCentreOf(this.deployment, pair) === dataCentre)
        .map(pair => fleet.runsOf(pair)),
    );
    return counts.reduce((sum, count) => sum + count.total, 0);
  }

  /** Number of runs of each request on all backend servers, by request id. */
  async runCounts(): Promise<ReadonlyMap<string, number>> {
    const sums = new Map<string, number>();
    for (const pair of this.pairs) {
      const {byRequestId} = await fleet.runsOf(pair);
      for (const [id, runs] of Object.entries(byRequestId)) {
        sums.set(id, (sums.get(id) ?? 0) + runs);
      }
    }
    return sums;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.processes[Symbol.asyncDispose]();
  }
}

/** Data centre of a pair, derived from the number at the end of its node id. */
function dataCentreOf(
  deployment: deployments.Deployment,
  pair: fleet.Pair,
): string {
  const index = Number(pair.nodeId.split('-').at(-1)) - 1;
  return deployment.dataCentres[index % deployment.dataCentres.length];
}

function startPairs(
  deployment: deployments.Deployment,
  processes: fleet.Fleet,
): Promise<readonly fleet.Pair[]> {
  const starting = deployment.services.flatMap(service =>
    Array.from({length: service.servers}, (_, i) =>
      processes.addPair({
        nodeId: `${service.name}-${i + 1}`,
        service: service.name,
        dataCentre: deployment.dataCentres[i % deployment.dataCentres.length],
        mode: {slots: service.slots, serviceMs: SERVICE_MS},
        settings: {
          region: deployment.region,
          slots: service.slots,
        },
      }),
    ),
  );
  return Promise.all(starting);
}
