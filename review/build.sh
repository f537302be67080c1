#!/bin/sh
# Checks the stand-ins of the review. They are Python programs without dependencies, so there is
# nothing to compile; the gateway itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in scripts/fleet.py tests/e2e/gateway.py tests/e2e/site_standins.py review/harness.py \
    review/[1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
