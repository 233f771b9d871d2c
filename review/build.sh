#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript without dependencies: there is nothing to
# compile, so that this only checks that Node can parse each of them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs */run.mjs; do
  node --check "$file"
done
