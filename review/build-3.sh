#!/bin/bash
# Checks that the stand-ins and the scripts of review 3 compile; they need no more than
# Python's standard library, and nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/site_3.py review/worker_3.py review/1[1-5]/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
END
