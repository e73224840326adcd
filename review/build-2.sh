#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be run. They are Python programs that
# need only the standard library, so nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig_2.py poison_2.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
cd ..
PYTHONPATH=target/deps python3 -m camphorrun gateway --help > /dev/null
