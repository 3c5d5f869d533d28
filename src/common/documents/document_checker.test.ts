import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as settings from '../../generated/settings.js';
import * as documentChecker from './document_checker.js';
import * as documentFault from './document_fault.js';
import * as validation from './validation.js';

const SEED = Number(process.env['SEED'] ?? 20261203);

function settingsChecker(): documentChecker.DocumentChecker<settings.Settings> {
  return new documentChecker.DocumentChecker<settings.Settings>(
    validation.SETTINGS,
  );
}

function validText(extra = ''): string {
  return `{
  // Beside the order desk.
  "nodeId": "orders-1", "dataCentre": "couva", "region": "tt-central",
  "service": "orders", "ip": "127.0.0.1", "slots": 12,
  "ports": {"http": 8000, "peer": 8001, "operator": 8002},
  "logService": {"ip": "127.0.0.1", "port": 9000},${extra}
}`;
}

nodeTest.test('fills in defaults of nested objects', () => {
  const checked = settingsChecker().checkText(validText());
  assert.equal(checked.kind, 'valid');
  if (checked.kind !== 'valid') return;
  assert.equal(checked.value.bounds.bodyBytes, 1_048_576);
  assert.equal(checked.value.selector.kind, 'redirect');
  assert.equal(checked.value.logService.timeoutMs, 2_000);
});

nodeTest.test('reports line, column, key and expectation of each fault', () => {
  const text = validText(
    '\n  "slotz": 3,\n  "logLevel": "loud",\n  "bounds": {"calls": 1}',
  );
  const checked = settingsChecker().checkText(text);
  assert.equal(checked.kind, 'invalid');
  if (checked.kind !== 'invalid') return;
  const lines = checked.faults
    .map(f => documentFault.formatFault('node.jsonc', f))
    .sort();
  assert.deepEqual(lines, [
    'node.jsonc:7:3: slotz: unknown key',
    'node.jsonc:8:3: logLevel: expected one of error, warn, info, debug',
    'node.jsonc:9:14: bounds.calls: expected: must be >= 16',
  ]);
});

nodeTest.test('rejects syntax errors, duplicate keys and deep nesting', () => {
  const check = settingsChecker();
  const messages = ['{"a": ]', '{"a": 1, "a": 2}', '['.repeat(100)].map(
    text => {
      const checked = check.checkText(text);
      return checked.kind === 'invalid' ? checked.faults[0].message : 'valid';
    },
  );
  assert.match(messages[0], /syntax error/);
  assert.equal(messages[1], 'key given twice');
  assert.match(messages[2], /deeper than/);
});

nodeTest.test(
  `reports faults and does not throw for any text (seed ${SEED})`,
  () => {
    const check = settingsChecker();
    const mutated = fc
      .tuple(fc.nat(400), fc.string({maxLength: 8}))
      .map(([at, insert]) => {
        const text = validText();
        return text.slice(0, at) + insert + text.slice(at);
      });
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json(), mutated), text => {
        const checked = check.checkText(text);
        assert.ok(
          checked.kind === 'valid' || checked.faults.every(f => f.line >= 1),
        );
      }),
      {seed: SEED, numRuns: 1_000},
    );
  },
);
