#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules for Node.js without dependencies: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
