import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as rateLimitReports from './rate_limit_reports.js';

nodeTest.test(
  'only large changes are reported, and at most one a second',
  () => {
    const reports = new rateLimitReports.RateLimitReports();
    const changes: ReadonlyArray<readonly [number | undefined, number]> = [
      [2, 0],
      [undefined, 500],
      [undefined, 1_500],
      [4, 3_000],
      [5, 5_000],
      [0, 7_000],
      [0, 9_000],
    ];
    assert.deepEqual(
      changes.map(([perSecond, now]) => reports.take(perSecond, now)),
      [true, false, true, true, false, true, false],
    );
  },
);
