#!/usr/bin/env bash
# Builds the one file that each machine runs: every file that is opened at start costs time.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
mkdir -p target
npx --no-install esbuild platform/dist/bin.js --bundle --platform=node --target=node20 \
  --format=cjs --outfile=target/acaciacrank.cjs --log-level=warning --legal-comments=none \
  --external:dtrace-provider --external:mv --external:source-map-support --external:safe-json-stringify
