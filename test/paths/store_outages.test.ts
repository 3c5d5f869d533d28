import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as platformFleet from './platform_fleet.js';
import * as versionedFleet from './versioned_fleet.js';

const NODES = 9;

/** Times for which the store answers nothing. */
const OUTAGES_MS = [800, 1_400, 2_000, 3_200, 4_500];

/** Time from the end of an outage until a version is acknowledged. */
const OUTAGE_TO_VERSION_MS = 100;

// Reads that an outage had swallowed were waited for, and those after them waited for records, so
// that a version came into force seconds after the store was back (review/9).
nodeTest.test(
  'a version is in force in time after the store answered nothing',
  {timeout: 120_000},
  async () => {
    await using fleet = await platformFleet.PlatformFleet.start(NODES);
    const versions = new versionedFleet.VersionedFleet(fleet);
    const late: string[] = [];
    for (const outageMs of OUTAGES_MS) {
      await timers.setTimeout(4_000);
      fleet.store.mode = {kind: 'silent'};
      // Calls that wait for an answer get none when the store is back.
      for (const {storeRelay} of fleet.nodes) storeRelay.silence();
      await timers.setTimeout(outageMs);
      fleet.store.mode = {kind: 'up'};
      const endedMs = performance.now();
      await timers.setTimeout(OUTAGE_TO_VERSION_MS);
      const ms = await versions.latenessMs(endedMs);
      if (ms > 0) late.push(`${outageMs} ms: ${Math.round(ms)} ms late`);
    }
    assert.deepEqual(late, []);
  },
);
