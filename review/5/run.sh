#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 case.py
