#!/bin/bash
# Checks that the stand-ins and cases compile; they need only Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
