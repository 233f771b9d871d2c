#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 run from their sources (`node --import tsx`), which the build of
# the deploy file has installed. This checks that all of them load, the project's own too.
set -e
cd "$(dirname "$0")/.."
for module in review/common-2/*.mjs standins/store/StoreStandin.ts; do
  node --import tsx --input-type=module -e "await import('./$module')"
done
