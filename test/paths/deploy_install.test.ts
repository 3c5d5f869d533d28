/** The build line of the platform: installs that fail or are killed, and builds at once. */
import * as assert from 'node:assert/strict';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as checkouts from './checkout.js';

const {test} = nodeTest;

/** Builds at once in one checkout. */
const BUILDS = 4;

function hashScripts(checkout: checkouts.Checkout): readonly string[] {
  return checkouts.SCRIPTS.map(script =>
    crypto
      .createHash('sha256')
      .update(checkout.read(`target/${script}`))
      .digest('hex'),
  );
}

for (const HANG_AT of ['ajv', 'esbuild', 'undici']) {
  test(`a build succeeds after an install that was killed before ${HANG_AT}`, async () => {
    using checkout = checkouts.Checkout.create();
    await checkout.killInstall({variables: {HANG_AT}});
    checkouts.expectBuilt(checkout, await checkout.build());
  });
}

test('builds at once in one checkout succeed', async () => {
  using checkout = checkouts.Checkout.create();
  const first = checkout.startBuild();
  await checkout.waitForInstall();
  const others = Array.from({length: BUILDS - 1}, () => checkout.build());
  for (const result of [await first.result, ...(await Promise.all(others))]) {
    checkouts.expectBuilt(checkout, result);
  }
  assert.deepEqual(
    fs.readdirSync(checkout.path('target')).sort(),
    [...checkouts.SCRIPTS].sort(),
  );
});

test('a build succeeds though its first install fails', async () => {
  using checkout = checkouts.Checkout.create();
  const variables = {FAIL_ONCE: checkout.path('bin/failed')};
  const result = await checkout.build({variables});
  checkouts.expectBuilt(checkout, result);
  assert.match(result.printed, /step install failed: npm ci .*: exit status 1/);
});

test('a build names the step that failed and leaves the scripts as they were', async () => {
  using checkout = checkouts.Checkout.createInstalled();
  checkouts.expectBuilt(checkout, await checkout.build());
  const before = hashScripts(checkout);
  checkout.write('src/daemon/main.ts', 'no script');
  checkout.write('src/daemon/platform_daemon.ts', 'export const changed = 1;');
  const notBundled = await checkout.build();
  assert.notEqual(notBundled.status, 0);
  assert.match(
    notBundled.printed,
    /step bundle failed: .*tools\/bundle\.mjs: exit status 1/,
  );
  assert.deepEqual(hashScripts(checkout), before);
  checkout.remove('node_modules');
  const notInstalled = await checkout.build({variables: {FAIL_WITH: '7'}});
  assert.notEqual(notInstalled.status, 0);
  assert.match(
    notInstalled.printed,
    /step install failed: npm ci .*: exit status 7/,
  );
  assert.deepEqual(hashScripts(checkout), before);
});
