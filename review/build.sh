#!/bin/sh
# The stand-ins of the cases are Python files that need the standard library alone: this checks that
# they compile, and that the libraries of the deploy build are there.
set -e
cd "$(dirname "$0")/.."
for file in review/rig.py review/[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -d target/deps
