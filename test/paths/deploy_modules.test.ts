/** The build line of the platform: modules and directories that it finds. */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as checkouts from './checkout.js';

const {test} = nodeTest;

const UNDICI = 'node_modules/undici';

/** Prefix of directories on another file system than that of temporary files. */
const OTHER_FILE_SYSTEM = '/dev/shm/geraniumloft-';

const EVERYBODY_READS = 0o444;
const EVERYBODY_ENTERS = 0o555;

/** Returns the permissions of a file that `mask` asks for. */
function permissions(
  checkout: checkouts.Checkout,
  name: string,
  mask: number,
): number {
  return fs.statSync(checkout.path(name)).mode & mask;
}

function readVersion(checkout: checkouts.Checkout, directory: string): unknown {
  const manifest = JSON.parse(checkout.read(`${directory}/package.json`)) as {
    readonly version: unknown;
  };
  return manifest.version;
}

function inode(checkout: checkouts.Checkout, name: string): number {
  return fs.statSync(checkout.path(name)).ino;
}

test('a build succeeds with modules of which a package is lost', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  checkout.remove(UNDICI);
  checkouts.expectBuilt(checkout, await checkout.build());
});

test('a build removes only old directories of other builds', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  for (const name of ['target/.build-old', 'target/.build-new']) {
    fs.mkdirSync(checkout.path(name), {recursive: true});
  }
  fs.utimesSync(checkout.path('target/.build-old'), 0, 0);
  checkouts.expectBuilt(checkout, await checkout.build());
  assert.deepEqual(
    fs.readdirSync(checkout.path('target')).sort(),
    ['.build-new', ...checkouts.SCRIPTS].sort(),
  );
});

for (const kind of ['directory', 'link'] as const) {
  test(`a build replaces a ${kind} of modules from a target on another file system`, async () => {
    using checkout = checkouts.Checkout.createInstalled();
    checkout.remove(UNDICI);
    if (kind === 'link') {
      fs.renameSync(checkout.path('node_modules'), checkout.path('linked'));
      fs.symlinkSync('linked', checkout.path('node_modules'));
    }
    const target = fs.mkdtempSync(OTHER_FILE_SYSTEM);
    try {
      assert.notEqual(
        fs.statSync(target).dev,
        fs.statSync(checkout.path('.')).dev,
      );
      fs.symlinkSync(target, checkout.path('target'));
      checkouts.expectBuilt(checkout, await checkout.build());
      if (kind === 'link') {
        const names = fs.readdirSync(checkout.path('linked'));
        assert.ok(names.length > 1, 'the target of the link is left as it is');
      }
      // The copy is whole, so that the next build installs nothing.
      const variables = {FAIL_WITH: '1'};
      checkouts.expectBuilt(checkout, await checkout.build({variables}));
    } finally {
      fs.rmSync(target, {recursive: true});
    }
  });
}

test('a build leaves whole modules as they are', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  const before = inode(checkout, `${UNDICI}/package.json`);
  checkouts.expectBuilt(
    checkout,
    await checkout.build({variables: {FAIL_WITH: '1'}}),
  );
  assert.equal(inode(checkout, `${UNDICI}/package.json`), before);
});

test('a build succeeds with modules of another lock file', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  const locked = readVersion(checkout, UNDICI);
  checkout.write(`${UNDICI}/package.json`, JSON.stringify({version: '7.0.0'}));
  checkout.changeRecord(packages => ({
    ...packages,
    [UNDICI]: {...packages[UNDICI], version: '7.0.0', integrity: ''},
  }));
  checkouts.expectBuilt(checkout, await checkout.build());
  assert.equal(readVersion(checkout, UNDICI), locked);
});

test('a build succeeds with modules of another kind of machine', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  const name = 'node_modules/@esbuild';
  checkout.remove(name);
  checkout.changeRecord(packages =>
    Object.fromEntries(
      Object.entries(packages).filter(([key]) => !key.startsWith(name)),
    ),
  );
  checkouts.expectBuilt(checkout, await checkout.build());
});

test('what a build makes can be read by everybody whatever the umask', async () => {
  using checkout = checkouts.Checkout.create();
  fs.mkdirSync(checkout.path('target'), {mode: 0o700});
  checkouts.expectBuilt(checkout, await checkout.build({umask: '077'}));
  for (const name of ['target', 'node_modules']) {
    assert.equal(
      permissions(checkout, name, EVERYBODY_ENTERS),
      EVERYBODY_ENTERS,
      name,
    );
  }
  for (const script of checkouts.SCRIPTS) {
    assert.equal(
      permissions(checkout, `target/${script}`, EVERYBODY_READS),
      EVERYBODY_READS,
      script,
    );
  }
});
