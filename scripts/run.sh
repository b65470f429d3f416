#!/usr/bin/env bash
# Runs one of the programs of the stand-ins after installing and building what is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/prepare.sh
program=$1
shift
exec node --expose-gc "packages/standins/dist/$program.js" "$@"
