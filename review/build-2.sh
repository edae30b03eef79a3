#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (6 to 10). They are Python
# programs of this folder without dependencies, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib-2/*.py {6,7,8,9,10}/case.py
rm -rf lib-2/__pycache__ {6,7,8,9,10}/__pycache__
