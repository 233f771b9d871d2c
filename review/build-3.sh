#!/bin/sh
# Bundles the scripts of the cases and their stand-ins, the project's own too, into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# Libraries in the CommonJS format call require.
banner="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
for file in review/common-4/engine.mjs review/1[1-5]/case.mjs; do
  [ -f "$file" ] || continue
  name=$(echo "$file" | sed 's|review/||; s|/|-|g')
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm \
    --banner:js="$banner" --log-level=warning --outfile="target/review-3/$name"
done
