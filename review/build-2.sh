#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start: stand-ins in Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
# The daemons come from the build of the deploy file; the stand-ins need nothing but Python.
test -d target/deps/godwitpass_platform
python3 -m py_compile review/stand_ins_2/*.py review/[0-9]*/case.py
