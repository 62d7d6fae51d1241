#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review. They are plain modules that need no compiler: this checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 4/run.mjs 5/run.mjs 6/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
