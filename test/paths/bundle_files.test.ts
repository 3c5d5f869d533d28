import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';

import * as loneNode from './lone_node.js';

const {test} = nodeTest;

const DIRECTORY = 'target';

/** Inodes of the scripts by name. */
function scripts(): ReadonlyMap<string, number> {
  return new Map(
    fs
      .readdirSync(DIRECTORY)
      .map(name => [name, fs.statSync(path.join(DIRECTORY, name)).ino]),
  );
}

test('a build replaces whole scripts, so that a start never reads a part', async () => {
  await loneNode.build();
  const before = scripts();
  // Open files keep their inodes from being used again.
  const open = [...before.keys()].map(name =>
    fs.openSync(path.join(DIRECTORY, name), 'r'),
  );
  await loneNode.build();
  const after = scripts();
  for (const fd of open) fs.closeSync(fd);
  assert.deepEqual([...after.keys()], [...before.keys()]);
  for (const [name, inode] of after) {
    assert.notEqual(inode, before.get(name), name);
  }
});
