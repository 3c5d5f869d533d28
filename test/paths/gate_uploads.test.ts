import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const BYTES_PER_MB = 1024 * 1024;

const MEMORY_MB = 200;

/** Share of the memory that a process may take at most. */
const PEAK_SHARE = 0.9;

/** Arguments with which the platform starts the daemon. */
const NODE_ARGS = ['--max-old-space-size=160'];

/** Services by node: all uploads go to the server beside the first one. */
const SERVICES = ['scans', 'orders', 'orders', 'orders', 'orders'];

const UPLOADS_PER_NODE = 5;
const BODY_BYTES = 8 * BYTES_PER_MB;
const WORK_MS = 2_000;
const DEADLINE_MS = 6_000;

function startFleet(): Promise<platformFleet.PlatformFleet> {
  const scans = documents.addedRoute('scans', {
    service: 'scans',
    route_kind: 'unsafe',
    timeout_s: DEADLINE_MS / 1_000,
    target_latency_s: 4,
  });
  return platformFleet.PlatformFleet.start(SERVICES.length, {
    nodeArgs: NODE_ARGS,
    services: SERVICES,
    settings: {memoryMb: MEMORY_MB},
    configuration: {
      routes: [scans, documents.addedRoute('history')],
      services: ['scans', 'orders'].map(documents.service),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 64 * BYTES_PER_MB,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
    },
  });
}

// A process was killed over its memory, as bodies from all nodes met at its gate without a bound
// (review/6).
nodeTest.test(
  'a node keeps within its memory while uploads from all others meet at its gate',
  {timeout: 120_000},
  async () => {
    await using fleet = await startFleet();
    const [gate, ...entries] = fleet.nodes;
    gate.server.mode = {kind: 'ok', workMs: WORK_MS};
    const body = 'x'.repeat(BODY_BYTES);
    const uploads = entries.flatMap((entry, i) =>
      Array.from({length: UPLOADS_PER_NODE}, async (unused, k) => {
        const id = `u${i}-${k}`;
        const {status} = await fleet.send(entry, {
          id,
          path: `/scans/${id}`,
          method: 'POST',
          body,
          deadlineMs: DEADLINE_MS,
        });
        return {status, runs: fleet.runsOf(id)};
      }),
    );
    const results = await Promise.all(uploads);
    for (const {status, runs} of results) {
      assert.ok(status === 200 || status === 503, `status ${status}`);
      assert.equal(runs, status === 200 ? 1 : 0);
    }
    assert.ok(results.some(({status}) => status === 200));
    assert.ok(gate.process.isRunning);
    const peakMb = gate.process.peakBytes / BYTES_PER_MB;
    assert.ok(peakMb < PEAK_SHARE * MEMORY_MB, `peak of ${peakMb} MB`);
    await child.waitUntil(
      async () => {
        const req = {id: 'later', path: '/scans/later', method: 'POST', body};
        const answer = await fleet.send(entries[0], {
          ...req,
          deadlineMs: 4_000,
        });
        return answer.status === 200;
      },
      DEADLINE_MS,
      () => 'an upload to be answered once the others have ended',
    );
  },
);
