#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts use; needs the dependencies of package-lock.json.
set -eu
cd "$(dirname "$0")/.."
npm run build --silent
