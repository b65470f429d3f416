#!/usr/bin/env bash
# Installs and builds what is missing; does nothing the second time.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-fund --no-audit --loglevel=error 1>&2
  touch node_modules/.package-lock.json
fi
npx --no-install tsc -b tsconfig.json 1>&2
