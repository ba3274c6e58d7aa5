#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps" exec timeout --preserve-status -k 8 100 python3 review/1/case.py
