#!/bin/bash
# Installs the locked dependencies and copies this repository's packages to target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.libraries" -nt requirements.lock ]; then
    rm -rf "$deps"
    python3 -m pip install -q --require-hashes --target "$deps" -r requirements.lock
    touch "$deps/.libraries"
fi
for package in packages/foxspring-{model,link,control,jobs,daemon,config,entry}/foxspring_* platform/foxspring_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -r "$package" "$deps/"
done
python3 -m compileall -q "$deps"
