/**
 * Runs the daemon's script with a V8 code cache, so that a start compiles no functions that the
 * warm-up at build time has used. V8 rejects a cache of another version of Node.js or of another
 * script; the script is then compiled as usual.
 */
'use strict';
const fs = require('fs');
const path = require('path');
const vm = require('vm');

const SCRIPT = path.join(__dirname, 'geraniumloft-node.script');
const CACHE = path.join(__dirname, 'geraniumloft-node.cache');

/** Returns the contents of a file, undefined if it cannot be read. */
function readOptional(file) {
  try {
    return fs.readFileSync(file);
  } catch {
    return undefined;
  }
}

/** Loads the script. It evaluates to a function of `require` and `process`. */
function loadScript() {
  return new vm.Script(fs.readFileSync(SCRIPT, 'latin1'), {
    filename: SCRIPT,
    cachedData: readOptional(CACHE),
  });
}

if (require.main === module) {
  loadScript().runInThisContext()(require, process);
} else {
  module.exports = {loadScript, CACHE};
}
