#!/usr/bin/env bash
# Checks what the scripts of review/9 to review/13 start: the daemon as the
# deploy file builds it. Their stand-ins are Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/tools/bamboostiled || {
  echo "target/tools/bamboostiled is missing: run the deploy file's build" >&2
  exit 1
}
python3 - review/lib3/*.py review/{9,10,11,12,13}/*.py <<'PYTHON'
import os
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in filter(os.path.exists, sys.argv[1:]):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
