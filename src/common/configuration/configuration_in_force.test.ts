import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as generated from '../../generated/configuration.js';
import * as configurationInForce from './configuration_in_force.js';

function configuration(
  exceptions: readonly generated.Exception[],
): configurationInForce.ConfigurationInForce {
  return new configurationInForce.ConfigurationInForce(1, {
    defaults: {queueLength: 7},
    classes: [
      {
        name: 'price',
        kind: 'interactive',
        deadlineMs: 500,
        idempotent: true,
        maxAttempts: 3,
        hedgeAfterMs: 0,
      },
      {
        name: 'order',
        kind: 'must-arrive',
        deadlineMs: 5_000,
        idempotent: false,
        maxAttempts: 2,
        hedgeAfterMs: 0,
      },
    ],
    services: [
      {
        name: 'catalogue',
        routes: [
          {method: 'GET', pathPrefix: '/catalogue', class: 'price'},
          {method: 'GET', pathPrefix: '/catalogue/checks', class: 'order'},
        ],
      },
    ],
    exceptions,
  });
}

const EXCEPTION_META = {reason: 'power work', author: 'ana', timeMs: 1};

nodeTest.test('the longest matching path prefix wins', () => {
  const cfg = configuration([]);
  assert.equal(
    cfg.matchRoute('GET', '/catalogue/checks/1')?.requestClass.name,
    'order',
  );
  assert.equal(
    cfg.matchRoute('GET', '/catalogue/mop')?.requestClass.name,
    'price',
  );
  assert.equal(cfg.matchRoute('POST', '/catalogue/mop'), undefined);
});

nodeTest.test(
  'exceptions take out data centres and servers and override tuning',
  () => {
    const cfg = configuration([
      {
        id: 'a',
        kind: 'data-centre-out',
        dataCentre: 'couva',
        ...EXCEPTION_META,
      },
      {id: 'b', kind: 'server-out', server: 'orders-1', ...EXCEPTION_META},
      {
        id: 'c',
        kind: 'service-override',
        service: 'orders',
        tuning: {coldStartSlots: 2},
        ...EXCEPTION_META,
      },
    ]);
    assert.equal(cfg.isDataCentreOut('couva'), true);
    assert.equal(cfg.isDataCentreOut('freeport'), false);
    assert.equal(cfg.isServerOut('orders-1'), true);
    assert.equal(cfg.tuningOf('orders').coldStartSlots, 2);
    assert.equal(cfg.tuningOf('orders').queueLength, 7);
    assert.equal(cfg.tuningOf('catalogue').coldStartSlots, 1);
  },
);
