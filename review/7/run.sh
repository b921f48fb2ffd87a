#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status -k 3 115 python3 -B "$(dirname "$0")/case.py"
