import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as docsContent from './docs_content.js';

const INCREMENT = /\.(?:increment|gauge)\(\s*'([^']+)'/g;

function sourceFiles(): readonly string[] {
  return fs
    .readdirSync('src', {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map(name => `src/${name}`);
}

for (const page of docsContent.pages()) {
  nodeTest.test(`${page.path} matches its sources; run npm run docs`, () => {
    assert.equal(fs.readFileSync(page.path, 'utf8'), page.text);
  });
}

nodeTest.test('every counter in the sources is described', () => {
  const metrics = docsContent
    .pages()
    .find(page => page.path === 'docs/METRICS.md');
  const countedNames = sourceFiles().flatMap(file =>
    [...fs.readFileSync(file, 'utf8').matchAll(INCREMENT)].map(
      match => match[1],
    ),
  );
  assert.ok(countedNames.length > 0);
  const missing = countedNames.filter(
    name => !metrics?.text.includes(`\`${name}\``),
  );
  assert.deepEqual(missing, []);
});
