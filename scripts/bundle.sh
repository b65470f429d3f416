#!/usr/bin/env bash
# Builds the program that each machine runs: one file, since every file that is opened at start costs time,
# with V8's code cache beside it, since every start would compile it again.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
mkdir -p target
rm -f target/program.cache
# Without comments and white space the source is smaller and all ASCII, so V8 keeps it in a quarter of the memory.
bundle() {
  npx --no-install esbuild "$1" --bundle --platform=node --target=node20 --format=cjs --outfile="$2" \
    --log-level=warning --legal-comments=none --minify-whitespace --minify-syntax --line-limit=160 \
    --alias:undici=./scripts/undiciClient.mjs \
    --external:dtrace-provider --external:mv --external:source-map-support --external:safe-json-stringify
}
bundle platform/dist/bin.js target/program.cjs
bundle platform/dist/launch.js target/acaciacrank.cjs
# V8 takes a cache only under the options with which it was made: those of deploy/system.toml.
node --max-old-space-size=128 --max-semi-space-size=4 target/acaciacrank.cjs --write-code-cache >/dev/null
