#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standin_2.py site_2.py
