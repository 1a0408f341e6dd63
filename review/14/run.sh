#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-3/stand_ins_3 ] && [ -d target/deps ] || exit 2
export TROUBLE=${TROUBLE:-1}
export REPOSITORY=$PWD RECORD=$PWD/review/14/record.txt PYTHONPATH=$PWD/target/review-3
exec timeout -k 5 120 python3 -B review/14/case.py
