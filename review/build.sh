#!/usr/bin/env bash
# The stand-ins of the cases are plain modules: this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
node --check standins.mjs
for file in ?/case.mjs; do node --check "$file"; done
