/** Generates src/generated from schema/: message codecs, types and validators. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as ajv from 'ajv';
import * as standalone from 'ajv/dist/standalone/index.js';
import * as json2ts from 'json-schema-to-typescript';

const JSON_SCHEMAS = ['settings', 'configuration', 'node_settings'];
const BANNER =
  '// Generated from schema/ by npm run generate. Do not edit.\n/* eslint-disable */\n';

/** Makes all properties and arrays in generated interfaces read-only. */
function toReadonly(source) {
  return source
    .replace(/^(\s+)(\w+\??:)(?=\s)/gm, '$1readonly $2')
    .replace(/(\b[\w.]+|\([^()]*\))\[\](?=;)/g, 'readonly $1[]')
    .replace(/: \[/g, ': readonly [');
}

/** Marks properties with a default as required, since validation fills them in. */
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
  fs.writeFileSync(
    `src/generated/${name}.ts`,
    `${BANNER}\n${toReadonly(types)}`,
  );
}
/** Names of the generated validators and the schemas they validate against. */
const VALIDATORS = {
  validateSettings: 'settings',
  validateConfiguration: 'configuration',
  validateOperation: 'operation',
  validateNodeSettings: 'node_settings',
};

/** IPv4 address in dotted-quad notation, or IPv6 address. */
const IP_FORMAT =
  /^(?:(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)\.){3}(?:25[0-5]|2[0-4]\d|1?\d?\d)|[0-9a-fA-F]*:[0-9a-fA-F:.]*)$/;

const OCTET = '(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)';

const PORT =
  '(?:\\d{1,4}|[1-5]\\d{4}|6[0-4]\\d{3}|65[0-4]\\d{2}|655[0-2]\\d|6553[0-5])';

/** IPv4 address in dotted-quad notation, and port. */
const ADDRESS_FORMAT = new RegExp(`^${OCTET}(?:\\.${OCTET}){3}:${PORT}$`);

/** Replaces require() calls in the generated validators by imports. */
function toImports(code) {
  const imports = [];
  const body = code.replace(
    /require\("([^"]+)"\)\.default/g,
    (unused, path) => {
      const name = `runtime${imports.length}`;
      imports.push(`import * as ${name} from '${path}.js';`);
      return `${name}.default.default`;
    },
  );
  return `${imports.join('\n')}\n${body}`;
}

/** Generates standalone validators, so that no schemas are compiled at run time. */
function generateValidators() {
  const compiler = new ajv.Ajv({
    allErrors: true,
    useDefaults: true,
    strict: false,
    code: {source: true, esm: true, lines: true},
  });
  compiler.addFormat('ip', IP_FORMAT);
  compiler.addFormat('address', ADDRESS_FORMAT);
  for (const id of Object.values(VALIDATORS)) {
    const text = fs.readFileSync(`schema/${id}.schema.json`, 'utf8');
    compiler.addSchema(JSON.parse(text));
  }
  const code = standalone.default.default(compiler, VALIDATORS);
  fs.writeFileSync(
    'src/generated/validators.ts',
    `// @ts-nocheck\n${BANNER}${toImports(code)}`,
  );
}

generateValidators();
childProcess.execFileSync('node_modules/.bin/buf', ['generate'], {
  stdio: 'inherit',
});
