import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as path from 'node:path';

const ROOTS = ['src', 'platform'];
const IMPORT = /^import (?:type )?\* as \w+ from '(\.[^']*)\.js';$/gm;

type Graph = ReadonlyMap<string, readonly string[]>;

/** Returns the imports of each module; test files are left out. */
function importGraph(): Graph {
  const files = ROOTS.flatMap(root =>
    fs
      .readdirSync(root, {recursive: true, encoding: 'utf8'})
      .filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'))
      .map(name => path.join(root, name)),
  );
  return new Map(
    files.map(file => {
      const imports = [...fs.readFileSync(file, 'utf8').matchAll(IMPORT)];
      const targets = imports.map(([, name]) =>
        path.join(path.dirname(file), `${name}.ts`),
      );
      return [file, targets];
    }),
  );
}

/** Returns the modules of one import cycle, or undefined if there is none. */
function findCycle(graph: Graph): readonly string[] | undefined {
  const visited = new Set<string>();
  const visit = (
    file: string,
    walk: readonly string[],
  ): readonly string[] | undefined => {
    if (walk.includes(file)) return [...walk.slice(walk.indexOf(file)), file];
    if (visited.has(file)) return undefined;
    for (const next of graph.get(file) ?? []) {
      const cycle = visit(next, [...walk, file]);
      if (cycle) return cycle;
    }
    visited.add(file);
    return undefined;
  };
  for (const file of graph.keys()) {
    const cycle = visit(file, []);
    if (cycle) return cycle;
  }
  return undefined;
}

nodeTest.test('an import cycle is found', () => {
  const graph = new Map([
    ['a', ['b']],
    ['b', ['c', 'd']],
    ['c', []],
    ['d', ['b']],
  ]);
  assert.deepEqual(findCycle(graph), ['b', 'd', 'b']);
});

nodeTest.test('there are no import cycles', () => {
  const graph = importGraph();
  assert.ok(graph.size > 100);
  assert.ok([...graph.values()].flat().length > 500);
  assert.equal(findCycle(graph), undefined);
});
