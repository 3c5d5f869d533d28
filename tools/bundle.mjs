/** Bundles the daemon into one file, so that a restart loads one file and not hundreds. */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['src/daemon/main.ts'],
  outfile: 'target/geraniumloft-node.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  // Libraries in CommonJS call require(), which modules do not have.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
