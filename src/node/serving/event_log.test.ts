import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as stream from 'node:stream';

import * as decision from '../../common/serving/decision.js';
import * as eventLog from './event_log.js';
import * as requestSample from './request_sample.js';
import * as telemetry from './telemetry.js';

const {test} = nodeTest;

class Sink extends stream.Writable {
  readonly lines: string[] = [];
  stuck = false;

  constructor() {
    super({
      write: (chunk, unusedEncoding, done) => {
        this.lines.push(String(chunk));
        if (!this.stuck) done();
      },
    });
  }

  get refusals(): number {
    return this.lines.filter(line => line.includes('"refused"')).length;
  }
}

function makeLog(overrides: Partial<eventLog.EventLogOptions> = {}) {
  const sink = new Sink();
  let now = 0;
  const log = new eventLog.EventLog({
    nodeId: `n${Math.random()}`,
    processStartedMs: 1,
    bytesPerSecond: 10_000,
    routineShare: 1,
    output: sink,
    nowMs: () => now,
    ...overrides,
  });
  return {log, sink, at: (ms: number) => void (now = ms)};
}

function decisionWith(
  importance: decision.Importance,
  i = 0,
): decision.Decision {
  const facts = {reason: 'no-room', i};
  const requestId = `r${i}`;
  return {component: 'gate', event: 'refused', importance, requestId, facts};
}

test('each line is one JSON object with node, process, event and request', () => {
  const {log, sink} = makeLog();
  log.write(decisionWith('notable', 3));
  const line = JSON.parse(sink.lines[0]) as Record<string, unknown>;
  assert.equal(line['event'], 'refused');
  assert.equal(line['request'], 'r3');
  assert.equal(line['reason'], 'no-room');
  assert.equal(line['process'], 1);
});

test('bytes per second are limited and dropped lines are reported', () => {
  const {log, sink, at} = makeLog();
  for (let i = 0; i < 1_000; i++) log.write(decisionWith('notable', i));
  const bytes = sink.lines.join('').length;
  assert.ok(bytes <= 10_500, `${bytes} bytes`);
  at(2_000);
  log.write(decisionWith('notable'));
  assert.ok(sink.lines.some(line => line.includes('"log-dropped"')));
});

test('routine decisions leave part of the budget to failures', () => {
  const {log, sink} = makeLog();
  for (let i = 0; i < 1_000; i++) log.write(decisionWith('routine', i));
  const routine = sink.refusals;
  for (let i = 0; i < 10; i++) log.write(decisionWith('notable', i));
  assert.equal(sink.refusals, routine + 10);
});

test('a reader that does not read blocks nothing and takes bounded memory', () => {
  const {log, sink, at} = makeLog({bytesPerSecond: 10_000_000});
  sink.stuck = true;
  for (let i = 0; i < 20_000; i++) {
    at(i);
    log.write(decisionWith('notable', i));
  }
  assert.ok(sink.writableLength < 300 * 1024);
});

test('all nodes sample the same requests', () => {
  const ids = Array.from({length: 2_000}, (unused, i) => `id-${i * 7_919}`);
  const sampled = ids.filter(id => requestSample.isSampled(id, 0.05));
  assert.ok(sampled.length > 50 && sampled.length < 170);
  assert.deepEqual(
    sampled,
    ids.filter(id => requestSample.isSampled(id, 0.05)),
  );
});

test('reasons are counted and durations observed, with bounded labels', async () => {
  const {log} = makeLog();
  const metrics = new telemetry.Telemetry(log);
  for (let i = 0; i < 500; i++) {
    const facts = {durationMs: 20, route: `route-${i}`};
    const event = 'answered';
    metrics.write({component: 'gate', event, importance: 'routine', facts});
  }
  metrics.write(decisionWith('notable'));
  const text = await metrics.text();
  assert.match(
    text,
    /decisions_total\{component="gate",event="refused",reason="no-room"\} 1/,
  );
  assert.match(text, /latency_seconds_bucket/);
  assert.ok(text.split('\n').length < 3_000);
});

test('a failure is logged with the earlier routine decisions of its request', () => {
  const {log, sink} = makeLog({routineShare: 0});
  for (const event of ['sent', 'run']) {
    log.write({...decisionWith('routine', 1), event});
    log.write({...decisionWith('routine', 2), event});
  }
  assert.equal(sink.lines.length, 0);
  log.write({...decisionWith('failure', 2), event: 'gave-up'});
  const events = sink.lines.map(
    line => (JSON.parse(line) as Record<string, unknown>)['event'],
  );
  assert.deepEqual(events, ['sent', 'run', 'gave-up']);
  assert.ok(sink.lines.every(line => line.includes('"r2"')));
});
