/** Bundles the daemon into one script, so that a restart loads one file instead of hundreds. */
import * as path from 'node:path';

import * as esbuild from 'esbuild';

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

await esbuild.build({
  entryPoints: ['src/daemon/main.ts'],
  outfile: 'target/geraniumloft-node.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  mainFields: ['module', 'main'],
  plugins: [replaceModules],
});
