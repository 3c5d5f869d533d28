import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as workspace from '../workspaces/workspace.js';
import * as quotaEntry from './quota_entry.js';
import * as quotaMembers from './quota_members.js';
import * as tokenOwner from './token_owner.js';

const {test} = nodeTest;

const OWNER = 'owner';
const MAX_WAIT_MS = 300;

/** The first request comes when the owner has been known for this long. */
const START_MS = 10_000;

/** An entry beside another node, which owns the workspace; the test answers for that node. */
class Harness {
  isOwnerReached = true;
  readonly asked: serving.TokenRequest[] = [];
  readonly admitted: number[] = [];
  readonly refused: number[] = [];
  readonly members = new quotaMembers.QuotaMembers('entry', {
    reaches: () => this.isOwnerReached,
  });
  readonly workspace: workspace.Workspace;
  readonly entry: quotaEntry.QuotaEntry;
  private lastId = 0;
  private isFlushDue = false;

  constructor(ratePerSecond = 10) {
    this.members.add(OWNER, 0);
    this.members.onListRead(0);
    const names = Array.from({length: 100}, (unused, i) => `w${i}`);
    const name = names.find(n => this.members.ownerOf(n).nodeId === OWNER);
    assert.ok(name);
    const quota = {ratePerSecond, burst: ratePerSecond};
    this.workspace = {name, keyDigests: [], rank: undefined, quota};
    this.entry = new quotaEntry.QuotaEntry({
      members: this.members,
      owner: new tokenOwner.TokenOwner({
        members: this.members,
        slack: 20,
        quotaOf: () => quota,
      }),
      random: new randomSource.SeededRandom(1),
      overageMs: 500,
      log: {write: () => undefined},
      output: {
        flushSoon: () => (this.isFlushDue = true),
        ask: (unusedNodeId, request) => this.asked.push(request),
        admit: id => this.admitted.push(id),
        refuse: id => this.refused.push(id),
      },
    });
  }

  request(now: number): quotaEntry.Verdict {
    const id = ++this.lastId;
    const verdict = this.entry.onRequest(
      {
        id,
        requestId: `r${id}`,
        workspace: this.workspace,
        maxWaitMs: MAX_WAIT_MS,
      },
      now,
    );
    this.flush(now);
    return verdict;
  }

  tick(now: number): void {
    this.entry.tick(now);
    this.flush(now);
  }

  /** Answers the latest question. */
  answer(grant: Partial<serving.WorkspaceGrant>, now: number): void {
    const number = this.asked.at(-1)?.number ?? 0;
    const item = {count: 0, waitMs: 0, owner: '', isPending: false, ...grant};
    const grants = [{workspace: this.workspace.name, ...item}];
    this.entry.onGrant(OWNER, {number, grants}, now);
    this.flush(now);
  }

  private flush(now: number): void {
    if (!this.isFlushDue) return;
    this.isFlushDue = false;
    this.entry.flush(now);
  }
}

test('a request waits for a late answer as long as its objective allows', () => {
  const harness = new Harness();
  assert.equal(harness.request(START_MS).kind, 'waiting');
  harness.tick(START_MS + MAX_WAIT_MS - 1);
  assert.deepEqual(harness.refused, []);
  harness.answer({count: 1}, START_MS + MAX_WAIT_MS - 1);
  assert.deepEqual(harness.admitted, [1]);
  harness.request(START_MS + 1_000);
  harness.tick(START_MS + 1_000 + MAX_WAIT_MS);
  assert.deepEqual(harness.refused, [2]);
});

test('requests that come while a question is open are asked for at once', () => {
  const harness = new Harness();
  harness.request(START_MS);
  harness.request(START_MS + 30);
  assert.deepEqual(
    harness.asked.map(({demands}) => demands[0].count),
    [1, 1],
  );
});

test('a request waits for an owner that may not grant yet, and asks again', () => {
  const harness = new Harness();
  harness.request(START_MS);
  harness.answer({waitMs: 1_500, isPending: true}, START_MS + 2);
  harness.tick(START_MS + 40);
  assert.equal(harness.asked.length, 1);
  harness.tick(START_MS + 60);
  assert.equal(harness.asked.length, 2);
  harness.answer({count: 1}, START_MS + 62);
  assert.deepEqual(harness.admitted, [1]);
});

test('a request is refused at once when its owner has no token', () => {
  const harness = new Harness();
  harness.request(START_MS);
  harness.answer({waitMs: 400}, START_MS + 2);
  assert.deepEqual(harness.refused, [1]);
  assert.equal(harness.request(START_MS + 3).kind, 'refused');
});

test('a request whose owner is lost waits for the share of its node', () => {
  const harness = new Harness(20);
  harness.isOwnerReached = false;
  harness.members.onLost(OWNER, START_MS);
  assert.equal(harness.request(START_MS + 10).kind, 'waiting');
  for (let ms = 10; ms <= MAX_WAIT_MS; ms += 10) harness.tick(START_MS + ms);
  assert.deepEqual([harness.admitted, harness.refused], [[1], []]);
});

test('no more requests wait than could be admitted meanwhile', () => {
  const harness = new Harness(100);
  const verdicts = Array.from({length: 40}, () => harness.request(START_MS));
  const waiting = verdicts.filter(({kind}) => kind === 'waiting').length;
  assert.equal(waiting, (100 * MAX_WAIT_MS) / 1_000);
});
