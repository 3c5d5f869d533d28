import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as lineFit from './line_fit.js';

nodeTest.test(
  'fits points of a line exactly and reports the residual of other points',
  () => {
    const exact = lineFit.fitLine([1, 2, 5].map(x => ({x, y: 3 * x + 1})));
    assert.ok(Math.abs(exact.slope - 3) < 1e-9);
    assert.ok(Math.abs(lineFit.valueAt(exact, 10) - 31) < 1e-9);
    assert.ok(exact.residual < 1e-9);
    const noisy = lineFit.fitLine([
      {x: 0, y: 0},
      {x: 1, y: 2},
      {x: 2, y: 1},
    ]);
    assert.ok(noisy.residual > 0.5);
  },
);
