import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as keyMemory from './key_memory.js';

const ANSWER_BYTES = 1024 * 1024;

function answerOf(bytes: number) {
  return {status: 200, headers: [], body: Buffer.alloc(bytes), replayed: false};
}

nodeTest.test(
  'answers beyond the bytes allowed are reduced, keys are kept',
  () => {
    const memory = new keyMemory.KeyMemory(100);
    for (let i = 0; i < 20; i++) {
      memory.begin(`k${i}`, 'fp', `c${i}`, 0);
      const answer = answerOf(ANSWER_BYTES);
      memory.settle(`k${i}`, {kind: 'finished', answer});
    }
    const kinds = [...memory.all()].map(known => known.state.kind);
    assert.equal(kinds.filter(kind => kind === 'finished').length, 8);
    assert.equal(kinds.filter(kind => kind === 'ran').length, 12);
    assert.equal(memory.get('k0')?.state.kind, 'ran');
  },
);

nodeTest.test('running keys outlast the window, settled ones do not', () => {
  const memory = new keyMemory.KeyMemory(100);
  memory.begin('running', 'fp', 'a', 0);
  memory.begin('settled', 'fp', 'b', 0);
  memory.settle('settled', {kind: 'unknown'});
  memory.purge(keyMemory.KEY_WINDOW_MS);
  assert.equal(memory.size, 2);
  memory.purge(keyMemory.KEY_WINDOW_MS + 2 * keyMemory.CLOCK_SKEW_MS);
  assert.equal(memory.get('settled'), undefined);
  assert.equal(memory.get('running')?.state.kind, 'running');
});

nodeTest.test(
  'what is known here goes before what a former home hands over',
  () => {
    const memory = new keyMemory.KeyMemory(2);
    const entry = {
      key: 'k',
      fingerprint: 'fp',
      answer: undefined,
      unknown: true,
      ageMs: 5,
    };
    memory.begin('k', 'fp', 'a', 0);
    assert.equal(memory.import(entry, 10), true);
    assert.equal(memory.get('k')?.state.kind, 'running');
    assert.equal(memory.import({...entry, key: 'l'}, 10), true);
    assert.equal(memory.get('l')?.sinceMs, 5);
    assert.equal(memory.import({...entry, key: 'm'}, 10), false);
  },
);
