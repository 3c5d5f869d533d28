import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as platformFleet from './platform_fleet.js';
import * as versionedFleet from './versioned_fleet.js';

/** Nodes; with three data centres, one of three nodes does not read the store. */
const NODES = 9;

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

/** Silences all open connections and returns how late nodes still act by the older version. */
async function lateMs(
  versions: versionedFleet.VersionedFleet,
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
  return versions.latenessMs(silentMs);
}

// A version or an evacuation came into force seconds late at nodes whose open connections had gone
// silent without a reset, as waits on them added up to more than the bound (review/8, review/9).
for (const silence of SILENCES) {
  nodeTest.test(
    `a version is in force in time after ${silence.title} went silent`,
    {timeout: 120_000},
    async () => {
      await using fleet = await platformFleet.PlatformFleet.start(NODES);
      const versions = new versionedFleet.VersionedFleet(fleet);
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
