import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as workspace from './workspace.js';
import * as workspaceDirectory from './workspace_directory.js';

const {test} = nodeTest;

function workspaceOf(
  name: string,
  keyDigests: readonly string[],
): workspace.Workspace {
  return {name, keyDigests, rank: undefined, quota: undefined};
}

test('a key identifies its workspace; other, missing and malformed keys none', () => {
  const first = workspaceOf('first', ['d1', 'd2']);
  const directory = new workspaceDirectory.WorkspaceDirectory([
    first,
    workspaceOf('second', ['d3']),
  ]);
  const identify = (digest: string) =>
    directory.identify({kind: 'digest', digest});
  assert.deepEqual(identify('d2'), {kind: 'workspace', workspace: first});
  assert.equal(identify('d4').kind, 'unknown');
  assert.equal(directory.identify({kind: 'none'}).kind, 'unknown');
  assert.equal(directory.identify({kind: 'malformed'}).kind, 'unknown');
});

// Either workspace could be charged for the requests of such a key.
test('a configuration in which two workspaces share a key or a name is malformed', () => {
  const check = (...workspaces: readonly workspace.Workspace[]) =>
    workspaceDirectory.checkWorkspaces(workspaces);
  assert.throws(
    () => check(workspaceOf('a', ['d1']), workspaceOf('b', ['d1'])),
    /duplicate key/,
  );
  assert.throws(
    () => check(workspaceOf('a', ['d1']), workspaceOf('a', ['d2'])),
    /duplicate workspace name/,
  );
});
