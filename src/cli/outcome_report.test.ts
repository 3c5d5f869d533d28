import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as outcomeReport from './outcome_report.js';

function line(event: string, facts: object, component = 'entry'): string {
  const at = '2026-01-01T00:00:00.000Z';
  return JSON.stringify({at, node: 'n1', component, event, ...facts});
}

nodeTest.test('only the ends that entries log are counted, by route', () => {
  const late = {route: 'prices', status: 200, late: true};
  const text = [
    line('answered', {...late, late: false}),
    line('answered', late),
    line('answered', late),
    line('answered', {...late, status: 503}),
    line('answered', {route: 'prices', status: 200}, 'gate'),
    line('refused', {route: 'prices', reason: 'REASON_FULL'}, 'gate'),
    line('gave-up', {route: 'orders', reason: 'no-room'}),
    line('refused-unread', {reason: 'no-route'}),
    'no log line',
  ].join('\n');
  const report = outcomeReport.countOutcomes([{file: 'n1.log', text}]);
  assert.deepEqual(report.counts, [
    {route: 'prices', outcome: 'late', count: 2},
    {route: 'prices', outcome: 'in-time', count: 1},
    {route: 'prices', outcome: 'server-error', count: 1},
    {route: 'orders', outcome: 'no-room', count: 1},
    {route: '-', outcome: 'no-route', count: 1},
  ]);
  assert.deepEqual(report.badLines, [{file: 'n1.log', line: 9}]);
});
