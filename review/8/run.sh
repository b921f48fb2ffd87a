#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec timeout --preserve-status -k 3 115 python3 -B "$(dirname "$0")/case.py"
