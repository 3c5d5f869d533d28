/** The build line of the platform with npm itself. */
import * as nodeTest from 'node:test';

import * as checkouts from './checkout.js';

const {test} = nodeTest;

test('a build succeeds after one that was killed while npm installed', async () => {
  using checkout = checkouts.Checkout.create();
  await checkout.killInstall({usesNpm: true});
  checkouts.expectBuilt(checkout, await checkout.build({usesNpm: true}));
});

test('a build installs the bundler under NODE_ENV=production', async () => {
  using checkout = checkouts.Checkout.create();
  const variables = {NODE_ENV: 'production'};
  checkouts.expectBuilt(
    checkout,
    await checkout.build({usesNpm: true, variables}),
  );
});
