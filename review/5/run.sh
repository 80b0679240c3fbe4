#!/bin/bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 0, 1 or 2.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/foxspring_platform ] || exit 2
export PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1
exec python3 -u "review/5/case.py"
