#!/bin/sh
# The stand-ins are plain modules for Node.js, so nothing is compiled; checks that they parse.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
