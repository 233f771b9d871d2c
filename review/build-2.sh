#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 run from their sources (`node --import tsx`), which the build of
# the deploy file has installed. This checks that all of them load, the project's own too.
set -e
cd "$(dirname "$0")/.."
for program in review/common-2/*Worker.mjs review/[6-9]/run.mjs review/10/run.mjs; do
  node --check "$program"
done
for module in review/common-2/[A-Z]*.mjs review/common-2/record.mjs review/common-2/sendRequest.mjs \
  review/common-3/*.mjs; do
  node --import tsx --input-type=module -e "await import('./$module')"
done
node --import tsx --input-type=module -e "await import('./standins/store/StoreStandin.ts')"
