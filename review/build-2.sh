#!/bin/sh
# Builds the stand-ins that the scripts of this review start, the project's own too.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/standins-2/*-*.mjs --bundle --platform=node \
  --format=esm --target=node20 --out-extension:.js=.mjs \
  --outdir=target/review-2 --log-level=warning
