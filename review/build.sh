#!/usr/bin/env bash
# Builds the stand-ins of the review. They are plain Python without dependencies, so that there is
# only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
for source in common/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
