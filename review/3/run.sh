#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../common.sh"
play review/3 drain_cut
