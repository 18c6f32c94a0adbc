#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they need Python 3.11 alone, so this only checks that
# it is there and that they can be read by it.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in common-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
