#!/usr/bin/env bash
# Prepares the scripts of the cases 6 to 10. All their stand-ins are Python, the project's own store
# (tests/e2e/site_standins.py) too, so nothing is compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/harness_2.py review/{6,7,8,9,10}/case.py tests/e2e/site_standins.py tests/e2e/gateway.py scripts/fleet.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
