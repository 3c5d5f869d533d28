import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as logPosition from '../serving/log_position.js';
import * as units from '../units.js';
import * as freshnessProof from './freshness_proof.js';

const {test} = nodeTest;

const SEED = Number(process.env['SEED'] ?? 23);

const BOUND_MS = 5_000;

const TICK_MS = 50;

/** A proof with clocks and a position that a test sets. */
class ProofBench {
  readonly now = {monotonicMs: 1_000, epochMs: 1_700_000_000_000};
  inForce: logPosition.LogPosition = {era: 1, offset: 3};
  readonly proof = new freshnessProof.FreshnessProof({
    boundMs: BOUND_MS,
    inForce: () => this.inForce,
  });

  constructor() {
    this.proof.observe(this.instant());
  }

  instant(): units.Instant {
    return {...this.now};
  }

  /** Lets time pass in a process that runs. */
  run(ms: units.Millis): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.pass(Math.min(TICK_MS, ms - passed));
      this.proof.observe(this.instant());
    }
  }

  pass(ms: units.Millis): void {
    this.now.monotonicMs += ms;
    this.now.epochMs += ms;
  }

  confirm(
    sent: units.Instant,
    position: logPosition.LogPosition = this.inForce,
    ageMs = 0,
  ): void {
    this.proof.onConfirmed({sent, ageMs, position}, this.instant());
  }

  get state(): freshnessProof.ProofState {
    return this.proof.state(this.instant());
  }

  get loss(): string | undefined {
    const {state} = this;
    return state.kind === 'none' ? state.loss : undefined;
  }
}

test('the age counts from the sending of the read, and bounds the proof', () => {
  const bench = new ProofBench();
  assert.equal(bench.loss, 'start');
  const sent = bench.instant();
  bench.run(1_250);
  bench.confirm(sent);
  assert.deepEqual(bench.state, {
    kind: 'valid',
    ageMs: 1_250,
    position: bench.inForce,
  });
  bench.run(3_750);
  assert.equal(bench.loss, undefined);
  bench.run(1);
  assert.equal(bench.loss, 'expired');
});

// The store answers no node: keys are refused as soon as the bound has passed, also with answers of
// peers, whose own proofs age alike.
test('peers that hand each other their proofs do not make them younger', () => {
  const first = new ProofBench();
  const second = new ProofBench();
  first.confirm(first.instant());
  for (let passed = 0; passed < BOUND_MS; passed += 500) {
    for (const [from, to] of [
      [first, second],
      [second, first],
    ]) {
      const sent = to.instant();
      const answer = from.state;
      if (answer.kind === 'valid') {
        to.confirm(sent, answer.position, answer.ageMs);
      }
    }
    first.run(500);
    second.run(500);
  }
  first.run(1);
  second.run(1);
  assert.deepEqual([first.loss, second.loss], ['expired', 'expired']);
});

test('a pause voids the proof, and a read sent before it gives none', () => {
  const bench = new ProofBench();
  const sent = bench.instant();
  bench.confirm(sent);
  bench.run(TICK_MS);
  const beforePause = bench.instant();
  bench.pass(900);
  assert.equal(bench.loss, 'pause');
  bench.confirm(beforePause);
  assert.equal(bench.loss, 'pause');
  bench.confirm(bench.instant());
  assert.equal(bench.loss, undefined);
});

for (const jumpMs of [-3_000, 3_000]) {
  test(`a jump of the wall clock by ${jumpMs} ms voids the proof and reads under way`, () => {
    const bench = new ProofBench();
    bench.confirm(bench.instant());
    const sent = bench.instant();
    bench.run(200);
    bench.now.epochMs += jumpMs;
    assert.equal(bench.loss, 'clock-jump');
    bench.confirm(sent);
    assert.equal(bench.loss, 'clock-jump');
    bench.confirm(bench.instant());
    assert.equal(bench.loss, undefined);
  });
}

// The monotonic clock stands still in a suspended instance.
test('many suspensions too short to be noticed alone count into the age or void the proof', () => {
  const bench = new ProofBench();
  bench.confirm(bench.instant());
  bench.run(4_000);
  bench.now.epochMs += 60;
  assert.deepEqual(bench.state, {
    kind: 'valid',
    ageMs: 4_060,
    position: bench.inForce,
  });
  bench.run(100);
  bench.now.epochMs += 60;
  assert.equal(bench.loss, 'clock-jump');
});

test('a new era voids the proof until a read of that era', () => {
  const bench = new ProofBench();
  const sent = bench.instant();
  bench.confirm(sent);
  bench.inForce = {era: 2, offset: 1};
  assert.equal(bench.loss, 'new-era');
  bench.confirm(sent, {era: 1, offset: 3});
  assert.equal(bench.loss, 'new-era');
  bench.confirm(bench.instant(), {era: 2, offset: 1});
  assert.equal(bench.loss, undefined);
});

test('a confirmation of a newer position counts once that position is in force', () => {
  const bench = new ProofBench();
  bench.confirm(bench.instant(), {era: 1, offset: 5}, 300);
  assert.equal(bench.loss, 'start');
  bench.inForce = {era: 1, offset: 4};
  assert.equal(bench.loss, 'start');
  bench.inForce = {era: 1, offset: 6};
  assert.equal(bench.loss, undefined);
});

test('an older confirmation does not replace a younger one', () => {
  const bench = new ProofBench();
  const early = bench.instant();
  bench.run(1_000);
  bench.confirm(bench.instant());
  bench.confirm(early);
  bench.confirm(bench.instant(), bench.inForce, 700);
  assert.deepEqual(bench.state, {
    kind: 'valid',
    ageMs: 0,
    position: bench.inForce,
  });
});

/** What happens to one node in a step of the property below. */
type Step =
  | {readonly kind: 'run' | 'pause' | 'suspend'; readonly ms: number}
  | {readonly kind: 'jump'; readonly ms: number}
  | {readonly kind: 'write' | 'read' | 'ask' | 'restart' | 'return'}
  /** The oldest or the newest answer under way arrives, once or again. */
  | {readonly kind: 'arrive'; readonly last: boolean; readonly again: boolean}
  | {readonly kind: 'lose' | 'learn'};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('run' as const, 'pause' as const, 'suspend' as const),
    ms: fc.integer({min: 1, max: 4_000}),
  }),
  fc.record({
    kind: fc.constant('jump' as const),
    ms: fc.integer({min: -6_000, max: 6_000}),
  }),
  fc.record({
    kind: fc.constantFrom(
      'write' as const,
      'read' as const,
      'ask' as const,
      'restart' as const,
      'return' as const,
      'lose' as const,
      'learn' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('arrive' as const),
    last: fc.boolean(),
    again: fc.boolean(),
  }),
);

interface Answer {
  readonly sent: units.Instant;
  readonly ageMs: number;
  readonly position: logPosition.LogPosition;
}

/** One node, its store, and a peer whose reads all succeed at once. */
class RevocationModel {
  node = new ProofBench();
  trueMs = 0;
  private era = 1;
  /** Times at which the records of the current era were acknowledged. */
  private acknowledgedMs: number[] = [0];
  private peer: {readonly readMs: number; readonly end: number} = {
    readMs: 0,
    end: 0,
  };
  private readonly answers: Answer[] = [];

  constructor() {
    this.node.inForce = this.end;
  }

  apply(step: Step): void {
    const {node, answers} = this;
    switch (step.kind) {
      case 'run':
        this.trueMs += step.ms;
        return node.run(step.ms);
      case 'pause':
        this.trueMs += step.ms;
        return node.pass(step.ms);
      case 'suspend':
        // Observed once at once: the tick after the instance has resumed.
        this.trueMs += step.ms;
        node.now.epochMs += step.ms;
        return node.proof.observe(node.instant());
      case 'jump':
        node.now.epochMs += step.ms;
        return node.proof.observe(node.instant());
      case 'write':
        return void this.acknowledgedMs.push(this.trueMs);
      case 'read':
        this.peer = {readMs: this.trueMs, end: this.end.offset};
        return void answers.push({
          sent: node.instant(),
          ageMs: 0,
          position: this.end,
        });
      case 'ask': {
        const {readMs, end: offset} = this.peer;
        const position = {era: this.era, offset};
        const ageMs = this.trueMs - readMs;
        return void answers.push({sent: node.instant(), ageMs, position});
      }
      case 'restart': {
        const {now, inForce} = node;
        this.node = new ProofBench();
        // Answers under way belong to the earlier process.
        answers.length = 0;
        Object.assign(this.node.now, now);
        this.node.proof.observe(this.node.instant());
        this.node.inForce = inForce;
        return;
      }
      case 'return':
        this.era++;
        this.acknowledgedMs = [this.trueMs];
        this.peer = {readMs: this.trueMs, end: 0};
        return;
      case 'arrive': {
        const answer = answers.at(step.last ? -1 : 0);
        if (answer === undefined) return;
        if (!step.again) answers.splice(answers.indexOf(answer), 1);
        return node.confirm(answer.sent, answer.position, answer.ageMs);
      }
      case 'lose':
        return void answers.shift();
      case 'learn':
        node.inForce = this.end;
        return;
    }
  }

  /** Whether a record is not in force that was acknowledged longer ago than the bound. */
  get missesOldRecord(): boolean {
    const {era, offset} = this.node.inForce;
    const missing =
      era === this.era
        ? this.acknowledgedMs.at(offset + 1)
        : this.acknowledgedMs.at(0);
    return missing !== undefined && this.trueMs - missing > BOUND_MS;
  }

  private get end(): logPosition.LogPosition {
    return {era: this.era, offset: this.acknowledgedMs.length - 1};
  }
}

test(`no key is admitted later than the bound after its removal, seed ${SEED}`, () => {
  let admitted = 0;
  let outdated = 0;
  fc.assert(
    fc.property(fc.array(STEP, {minLength: 5, maxLength: 60}), steps => {
      const model = new RevocationModel();
      for (const step of steps) {
        model.apply(step);
        const isAdmitted = model.node.state.kind === 'valid';
        if (isAdmitted) admitted++;
        if (!model.missesOldRecord) continue;
        outdated++;
        assert.ok(!isAdmitted, `admitted after ${step.kind}`);
      }
    }),
    {seed: SEED, numRuns: 10_000},
  );
  assert.ok(admitted > 1_000 && outdated > 1_000, `${admitted} ${outdated}`);
});
