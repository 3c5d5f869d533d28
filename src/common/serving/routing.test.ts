import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as configuration from './configuration.js';
import * as fixtures from './serving_fixtures.test.js';
import * as trafficSplit from './traffic_split.js';

const {test} = nodeTest;

test('the route with the longest matching prefix of the host is chosen', () => {
  const routes = [
    fixtures.route({name: 'short', pathPrefix: '/a/'}),
    fixtures.route({name: 'long', pathPrefix: '/a/b/'}),
    fixtures.route({name: 'other', host: 'x.example', pathPrefix: '/a/b/c/'}),
  ];
  const cfg = new configuration.ConfigurationInForce(
    fixtures.document({routes}),
  );
  const matched = (target: string): string | undefined =>
    cfg.matchRoute('Shop.Example:80', target)?.name;
  assert.equal(matched('/a/b/c/d?x=/a/'), 'long');
  assert.equal(matched('/a/x'), 'short');
  assert.equal(matched('/a'), undefined);
  assert.equal(cfg.matchRoute('y.example', '/a/b/'), undefined);
});

test('any span of requests is split by weight', () => {
  const split = new trafficSplit.TrafficSplit();
  const parts = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  const route = fixtures.route({parts});
  const chosen = Array.from({length: 200}, () => split.next(route)?.service);
  for (let from = 0; from + 40 <= chosen.length; from += 10) {
    const span = chosen.slice(from, from + 40);
    const b = span.filter(service => service === 'b').length;
    assert.ok(b >= 3 && b <= 5, `${b} of 40`);
  }
});
