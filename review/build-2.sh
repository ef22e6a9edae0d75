#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. They are plain scripts without dependencies (review/lib-2), so nothing is compiled; this checks
# that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
