/** Bundles the daemon into one file, so that a restart loads one file instead of hundreds. */
import * as path from 'node:path';

import * as esbuild from 'esbuild';

/** Resolves undici to the modules that the daemon uses, instead of to its index. */
const undiciClient = {
  name: 'undici-client',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: path.resolve('tools/undici_client.mjs'),
    }));
  },
};

await esbuild.build({
  entryPoints: ['src/daemon/main.ts'],
  outfile: 'target/geraniumloft-node.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  plugins: [undiciClient],
  // CommonJS dependencies call require(), which ES modules do not have.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
