#!/usr/bin/env bash
# Builds the stand-ins of the third review under target/; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -R review/stand_ins_3 target/review-3/
python3 -m compileall -q target/review-3
