#!/bin/bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 0, 1 or 2.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -d target/deps/foxspring_platform ] || exit 2
export PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1
exec python3 -u "$here/case.py"
