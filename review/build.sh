#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are plain JavaScript modules for Node.js 20, so this checks that they
# parse; no case uses stand-ins of test/support.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/case.mjs; do
  node --check "$file"
done
