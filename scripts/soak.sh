#!/usr/bin/env bash
# Runs the soak after installing and building what is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
exec node packages/soak/dist/bin.js "$@"
