import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

/** Nodes; with three data centres, one of three nodes does not read the store. */
const NODES = 9;

/** `config_s`: time from the acknowledgement of a version until all requests follow it. */
const CONFIG_MS = 2_000;

/** `contact_s`: time after a disruption of its connections until a node is judged again. */
const CONTACT_MS = 3_000;

const ASK_INTERVAL_MS = 60;

/** Time for which nodes are asked after the last bound. */
const OBSERVED_MS = 1_000;

/** Time from the silence until the judged version is acknowledged. */
const SILENCE_TO_VERSION_MS = 100;

interface Phase {
  readonly title: string;
  /** Time from a record until the connections go silent, undefined without a record. */
  readonly sinceRecordMs: number | undefined;
}

const PHASES: readonly Phase[] = [
  {title: 'just after a record', sinceRecordMs: 20},
  {title: '0.7 s after a record', sinceRecordMs: 700},
  {title: '1.6 s after a record', sinceRecordMs: 1_600},
  {title: 'without a record for long', sinceRecordMs: undefined},
];

interface Silence {
  readonly title: string;
  silence(node: platformFleet.FleetNode): void;
}

const SILENCES: readonly Silence[] = [
  {
    title: 'connections to the store',
    silence: ({storeRelay}) => storeRelay.silence(),
  },
  {title: 'links between nodes', silence: ({relay}) => relay.silence()},
  {
    title: 'connections to the store and links between nodes',
    silence: ({relay, storeRelay}) => {
      relay.silence();
      storeRelay.silence();
    },
  },
];

/** A fleet whose versions each add a route. */
class VersionedFleet {
  private version = 1;
  private requests = 0;

  constructor(readonly fleet: platformFleet.PlatformFleet) {}

  /** Publishes a version with a route of its own and returns the path of that route. */
  publish(): string {
    const name = `added${++this.version}`;
    const routes = ['history', name].map(each => documents.addedRoute(each));
    const document = documents.configuration(this.version, {routes});
    this.fleet.store.put('keyed.op', 'config', document);
    return `/${name}/1`;
  }

  /** Asks all nodes for a path and returns the sending times of the requests that got 404. */
  async unknownSentMs(path: string, untilMs: number): Promise<number[]> {
    const perNode = this.fleet.nodes.map(async node => {
      const sent: number[] = [];
      while (performance.now() < untilMs) {
        const sentMs = performance.now();
        const id = `r${++this.requests}`;
        const {status} = await this.fleet.send(node, {id, path});
        if (status === 404) sent.push(sentMs);
        await timers.setTimeout(ASK_INTERVAL_MS);
      }
      return sent;
    });
    return (await Promise.all(perNode)).flat();
  }
}

/** Silences all open connections and returns how late nodes still act by the older version. */
async function lateMs(
  versions: VersionedFleet,
  {silence}: Silence,
  {sinceRecordMs}: Phase,
): Promise<number> {
  if (sinceRecordMs !== undefined) {
    versions.publish();
    await timers.setTimeout(sinceRecordMs);
  }
  for (const node of versions.fleet.nodes) silence(node);
  const silentMs = performance.now();
  await timers.setTimeout(SILENCE_TO_VERSION_MS);
  const path = versions.publish();
  const boundMs = Math.max(
    performance.now() + CONFIG_MS,
    silentMs + CONTACT_MS,
  );
  const sent = await versions.unknownSentMs(path, boundMs + OBSERVED_MS);
  return Math.max(0, ...sent) - boundMs;
}

// A version or an evacuation came into force seconds late at nodes whose open connections had gone
// silent without a reset, as waits on them added up to more than the bound (review/8, review/9).
for (const silence of SILENCES) {
  nodeTest.test(
    `a version is in force in time after ${silence.title} went silent`,
    {timeout: 120_000},
    async () => {
      await using fleet = await platformFleet.PlatformFleet.start(NODES);
      const versions = new VersionedFleet(fleet);
      const late: string[] = [];
      for (const phase of PHASES) {
        // Until idle links have only their pulses.
        await timers.setTimeout(4_000);
        const ms = await lateMs(versions, silence, phase);
        if (ms > 0) late.push(`${phase.title}: ${Math.round(ms)} ms late`);
      }
      assert.deepEqual(late, []);
    },
  );
}
