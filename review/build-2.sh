#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library, so that checking
# that they compile is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-2/*.py {6,8,9,10}/case.py <<'PROGRAM'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PROGRAM
