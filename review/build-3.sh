#!/bin/sh
# The stand-ins of review/11 to 15 are plain modules that need no build; checks that they load.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-3/*.mjs; do node --check "$file"; done
