/** Generates src/generated from schema/: message codecs, types and schema constants. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as json2ts from 'json-schema-to-typescript';

const JSON_SCHEMAS = ['settings', 'configuration'];
const BANNER =
  '// Generated from schema/ by npm run generate. Do not edit.\n/* eslint-disable */\n';

/** Makes every property and array of generated interfaces read-only. */
function toReadonly(source) {
  return source
    .replace(/^(\s+)(\w+\??:)(?=\s)/gm, '$1readonly $2')
    .replace(/(\b[\w.]+|\([^()]*\))\[\](?=;)/g, 'readonly $1[]')
    .replace(/: \[/g, ': readonly [');
}

/** Marks properties with a default as required: the checker fills them in. */
function requireDefaulted(schema) {
  if (schema === null || typeof schema !== 'object') return;
  Object.values(schema).forEach(requireDefaulted);
  const defaulted = Object.entries(schema.properties ?? {}).filter(
    ([, p]) => p.default !== undefined,
  );
  if (defaulted.length === 0) return;
  schema.required = [
    ...(schema.required ?? []),
    ...defaulted.map(([key]) => key),
  ];
}

for (const name of JSON_SCHEMAS) {
  const schema = JSON.parse(
    fs.readFileSync(`schema/${name}.schema.json`, 'utf8'),
  );
  const typed = structuredClone(schema);
  requireDefaulted(typed);
  const types = await json2ts.compile(typed, schema.title, {
    bannerComment: '',
    additionalProperties: false,
    ignoreMinAndMaxItems: true,
    unreachableDefinitions: true,
  });
  const constant = `/** JSON schema of ${schema.title}. */\nexport const ${name.toUpperCase()}_SCHEMA = ${JSON.stringify(schema, null, 2)} as const;\n`;
  fs.writeFileSync(
    `src/generated/${name}.ts`,
    `${BANNER}\n${toReadonly(types)}\n${constant}`,
  );
}
childProcess.execFileSync('node_modules/.bin/buf', ['generate'], {
  stdio: 'inherit',
});
