import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as path from 'node:path';

const ROOTS = ['src', 'platform'];
const IMPORT = /^import (?:type )?\* as \w+ from '(\.[^']*)\.js';$/gm;

type Graph = ReadonlyMap<string, readonly string[]>;

/** Returns the modules that each module imports, without tests. */
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

/** Returns the modules of a circle, undefined if there is none. */
function findCircle(graph: Graph): readonly string[] | undefined {
  const done = new Set<string>();
  const visit = (
    file: string,
    way: readonly string[],
  ): readonly string[] | undefined => {
    if (way.includes(file)) return [...way.slice(way.indexOf(file)), file];
    if (done.has(file)) return undefined;
    for (const next of graph.get(file) ?? []) {
      const circle = visit(next, [...way, file]);
      if (circle) return circle;
    }
    done.add(file);
    return undefined;
  };
  for (const file of graph.keys()) {
    const circle = visit(file, []);
    if (circle) return circle;
  }
  return undefined;
}

nodeTest.test('a circle of imports is found', () => {
  const graph = new Map([
    ['a', ['b']],
    ['b', ['c', 'd']],
    ['c', []],
    ['d', ['b']],
  ]);
  assert.deepEqual(findCircle(graph), ['b', 'd', 'b']);
});

nodeTest.test('no module imports itself by way of others', () => {
  const graph = importGraph();
  assert.ok(graph.size > 100);
  assert.ok([...graph.values()].flat().length > 500);
  assert.equal(findCircle(graph), undefined);
});
