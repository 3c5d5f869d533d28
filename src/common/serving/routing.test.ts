import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as randomSource from '../random_source.js';
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

function newSplit(seed: number): trafficSplit.TrafficSplit {
  return new trafficSplit.TrafficSplit(new randomSource.SeededRandom(seed));
}

test('any span of requests is split by weight', () => {
  const split = newSplit(3);
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

// Entries in step sent nothing to a part of 10% in their first five requests each.
test('entries that start together do not split their requests in step', () => {
  const route = fixtures.route({
    parts: [
      {service: 'a', weight: 90},
      {service: 'b', weight: 10},
    ],
  });
  for (const entries of [24, 61, 88, 300]) {
    const splits = Array.from({length: entries}, (_, i) =>
      newSplit(randomSource.seedOf(`node-${i}`, 1_000)),
    );
    let toB = 0;
    for (let i = 0; i < 300; i++) {
      if (splits[i % entries].next(route)?.service === 'b') toB++;
    }
    assert.ok(Math.abs(toB / 300 - 0.1) < 0.06, `${toB} of 300 at ${entries}`);
  }
});

test('a change of the weights takes effect with the next requests', () => {
  const split = newSplit(5);
  const parts = (a: number) => [
    {service: 'a', weight: a},
    {service: 'b', weight: 100 - a},
  ];
  for (let i = 0; i < 50; i++) split.next(fixtures.route({parts: parts(90)}));
  const route = fixtures.route({parts: parts(10)});
  const chosen = Array.from({length: 100}, () => split.next(route)?.service);
  assert.equal(chosen.filter(service => service === 'a').length, 10);
});
