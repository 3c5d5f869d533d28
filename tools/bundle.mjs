/**
 * Bundles the daemon into one script, with a launcher and a V8 code cache, so that a restart loads
 * three files instead of hundreds and compiles next to nothing.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

const TARGET = 'target';
const LAUNCHER = `${TARGET}/geraniumloft-node.cjs`;
const SCRIPT = `${TARGET}/geraniumloft-node.script`;
const CACHE = `${TARGET}/geraniumloft-node.cache`;

/** Modules that are replaced by smaller ones. */
const REPLACEMENTS = [
  [/^undici$/, 'tools/undici_client.mjs'],
  [/^prom-client$/, 'tools/prom_client.mjs'],
  [/^node:crypto$/, 'tools/lazy_crypto.cjs'],
  [/\/client-h2\.js$/, 'tools/no_http2.cjs'],
];

const replaceModules = {
  name: 'replace-modules',
  setup(build) {
    for (const [filter, file] of REPLACEMENTS) {
      build.onResolve({filter}, () => ({path: path.resolve(file)}));
    }
  },
};

fs.mkdirSync(TARGET, {recursive: true});
// V8 compares only the length of the script with that of the cached one.
fs.rmSync(CACHE, {force: true});
await esbuild.build({
  entryPoints: ['src/daemon/main.ts'],
  outfile: SCRIPT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'iife',
  minifyWhitespace: true,
  minifySyntax: true,
  mainFields: ['module', 'main'],
  plugins: [replaceModules],
  banner: {js: '(function (require, process) {'},
  footer: {js: '})'},
});
fs.copyFileSync('tools/launcher.cjs', LAUNCHER);
// V8 rejects a cache that was made with other flags than those of the run.
const warmUp = childProcess.spawnSync(
  process.execPath,
  ['--max-old-space-size=160', 'tools/write_code_cache.mjs'],
  {stdio: ['ignore', 'inherit', 'inherit'], timeout: 30_000},
);
if (warmUp.status !== 0) {
  fs.rmSync(CACHE, {force: true});
  console.warn('no code cache: starts take longer');
}
