import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const BYTES_PER_MB = 1024 * 1024;

/** Fewer than the slots of the server. */
const UPLOADS = 8;

/** Of which the callers' memory takes four: 64 MB, a quarter of it, three quarters of that. */
const BODY = 'x'.repeat(3 * BYTES_PER_MB);

const DEADLINE_MS = 3_000;

test('uploads that find no memory are refused as not run, and others go on', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1, {
    settings: {memoryMb: 64},
    configuration: {
      routes: [
        documents.addedRoute('scans', {
          route_kind: 'unsafe',
          timeout_s: DEADLINE_MS / 1_000,
          target_latency_s: DEADLINE_MS / 1_000,
        }),
        documents.addedRoute('history'),
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 64 * BYTES_PER_MB,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
    },
  });
  const [node] = fleet.nodes;
  node.server.mode = {
    kind: 'varied',
    workOf: ({target}) => ({
      workMs: target.startsWith('/scans') ? 2 * DEADLINE_MS : 0,
      paddingBytes: 0,
    }),
  };
  const sendUpload = async (i: number) => {
    const id = `u${i}`;
    const answer = await fleet.send(node, {
      id,
      path: `/scans/${i}`,
      method: 'POST',
      body: BODY,
      deadlineMs: DEADLINE_MS,
    });
    return {id, ...answer};
  };
  const answers = Promise.allSettled(
    Array.from({length: UPLOADS}, (unused, i) => sendUpload(i)),
  );
  await child.waitUntil(
    () => node.server.running > 0,
    DEADLINE_MS,
    () => 'an upload to run',
  );
  const {status} = await fleet.send(node, {id: 'small'});
  assert.equal(status, 200);
  const refused = (await answers)
    .map(settled => {
      assert.equal(settled.status, 'fulfilled');
      return settled.value;
    })
    .filter(answer => answer.status === 503);
  assert.ok(refused.length > 0);
  for (const {id, headers} of refused) {
    assert.ok(Number(headers['retry-after']) > 0, id);
    assert.equal(fleet.runsOf(id), 0, id);
  }
  assert.match(node.process.printed, /"reason":"no-memory"/);
});
