/**
 * Bundles the daemon, so that a restart loads two files instead of hundreds: a small script that
 * installs the handlers of signals, and the daemon itself, which it loads next.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

const DIRECTORY = 'target';
const LAUNCHER = 'geraniumloft-node.cjs';
const DAEMON = 'geraniumloft-node-daemon.cjs';

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

const loadDaemon = {
  name: 'load-daemon',
  setup(build) {
    build.onResolve({filter: /^\.\/platform_daemon\.js$/}, () => ({
      path: `./${DAEMON}`,
      external: true,
    }));
  },
};

/** Mode of the scripts, of which the first one may be run by its name, and of their directory. */
const MODE = 0o755;

/** Bundles a module and what it imports into one script. */
async function bundle(entryPoint, plugins) {
  const {outputFiles} = await esbuild.build({
    entryPoints: [entryPoint],
    write: false,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // The loader of ES modules would delay the start.
    supported: {'dynamic-import': false},
    minifyWhitespace: true,
    minifySyntax: true,
    mainFields: ['module', 'main'],
    plugins,
  });
  return outputFiles[0].contents;
}

/** Makes the directory of the scripts; one that an earlier build made may be closed to others. */
function makeDirectory() {
  fs.mkdirSync(DIRECTORY, {recursive: true});
  const {mode} = fs.statSync(DIRECTORY);
  if ((mode & MODE) !== MODE) fs.chmodSync(DIRECTORY, mode | MODE);
}

/** Writes the scripts beside those before, then replaces each at once. */
function replaceScripts(scripts) {
  const temporary = fs.mkdtempSync(path.join(DIRECTORY, '.build-'));
  try {
    for (const [file, contents] of scripts) {
      const written = path.join(temporary, file);
      fs.writeFileSync(written, contents);
      fs.chmodSync(written, MODE);
    }
    for (const [file] of scripts) {
      fs.renameSync(path.join(temporary, file), path.join(DIRECTORY, file));
    }
  } finally {
    fs.rmSync(temporary, {recursive: true, force: true});
  }
}

const daemon = await bundle('src/daemon/platform_daemon.ts', [replaceModules]);
const launcher = await bundle('src/daemon/main.ts', [loadDaemon]);
makeDirectory();
// The daemon first, as a start that reads the first script loads it next.
replaceScripts([
  [DAEMON, daemon],
  [LAUNCHER, launcher],
]);
