#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies: nothing is compiled, they are only parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
