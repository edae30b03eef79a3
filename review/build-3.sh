#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python: nothing is built, they are
# only checked for errors of syntax.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins of the third review: ok"
