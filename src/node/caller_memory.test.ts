import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as callerMemory from './caller_memory.js';

const {test} = nodeTest;

const MAX_BYTES = 100;

/** Memory in which single connections can hold many answers, in bytes. */
const LARGE_MEMORY_BYTES = 1024 * 1024;

/** Memory with one allocation for each name; `ended` has the names that had to end. */
function makeMemory<T extends string>(names: readonly T[]) {
  const memory = new callerMemory.CallerMemory(MAX_BYTES);
  const ended: T[] = [];
  const allocations = Object.fromEntries(
    names.map(name => [name, memory.allocate(() => ended.push(name))]),
  ) as Record<T, callerMemory.CallerAllocation>;
  return {memory, allocations, ended};
}

test('the connection that holds most ends when the memory is used up', () => {
  const {memory, allocations, ended} = makeMemory(['large', 'small', 'last']);
  allocations.large.add(60);
  allocations.small.add(30);
  allocations.last.add(20);
  assert.deepEqual(ended, ['large']);
  assert.equal(memory.usedBytes, 50);
});

test('connections within the memory stay', () => {
  const {memory, allocations, ended} = makeMemory(['a', 'b']);
  allocations.a.add(50);
  allocations.b.add(50);
  allocations.a.remove(20);
  allocations.b.add(20);
  assert.deepEqual(ended, []);
  assert.equal(memory.usedBytes, MAX_BYTES);
});

test('a connection that alone takes more than the memory ends', () => {
  const {memory, allocations, ended} = makeMemory(['only']);
  allocations.only.add(MAX_BYTES + 1);
  assert.deepEqual(ended, ['only']);
  assert.equal(memory.usedBytes, 0);
});

test('bytes of an ended connection count once', () => {
  const {memory, allocations} = makeMemory(['a', 'b']);
  allocations.a.add(40);
  allocations.a[Symbol.dispose]();
  allocations.a[Symbol.dispose]();
  allocations.a.add(40);
  allocations.a.remove(40);
  allocations.b.add(10);
  assert.equal(memory.usedBytes, 10);
});

test('each return of bytes is told', () => {
  const {memory, allocations} = makeMemory(['a', 'b']);
  const used: number[] = [];
  memory.onFreed = () => used.push(memory.usedBytes);
  allocations.a.add(40);
  allocations.b.add(10);
  allocations.a.remove(5);
  allocations.a[Symbol.dispose]();
  allocations.a[Symbol.dispose]();
  assert.deepEqual(used, [45, 10]);
});

test('answers that are not taken end before a larger body', () => {
  const memory = new callerMemory.CallerMemory(LARGE_MEMORY_BYTES);
  const ended: string[] = [];
  const body = memory.allocate(() => ended.push('body'));
  body.add(LARGE_MEMORY_BYTES / 2);
  const answers = memory.allocate(() => ended.push('answers'), 'answers');
  answers.add(LARGE_MEMORY_BYTES / 3);
  body.add(LARGE_MEMORY_BYTES / 4);
  assert.deepEqual(ended, ['answers']);
  assert.equal(body.bytes, memory.usedBytes);
});

test('large answers give way to a body, small ones and bodies do not', () => {
  const memory = new callerMemory.CallerMemory(LARGE_MEMORY_BYTES);
  const ended: string[] = [];
  const body = memory.allocate(() => ended.push('body'));
  body.add(LARGE_MEMORY_BYTES / 2);
  const small = memory.allocate(() => ended.push('small'), 'answers');
  small.add(1_000);
  const large = memory.allocate(() => ended.push('large'), 'answers');
  large.add(LARGE_MEMORY_BYTES / 2 - 1_000);
  assert.equal(memory.makeRoom(1_000), true);
  assert.deepEqual(ended, ['large']);
  assert.equal(memory.makeRoom(LARGE_MEMORY_BYTES), false);
  assert.deepEqual(ended, ['large']);
});
