#!/usr/bin/env bash
# The stand-ins are scripts (Python 3.11, its own library only): nothing to build, but they are checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
