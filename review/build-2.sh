#!/usr/bin/env bash
# Checks that the stand-ins of the second review compile; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig_2.py
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
