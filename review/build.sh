#!/bin/sh
# The scripts' stand-ins are Python files of the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
