#!/usr/bin/env bash
# Installs missing packages, builds the programs and runs the examples; see scripts/demo.py --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake -DFOLDER=build -P cmake/discard_carried_over.cmake
cmake --preset release >/dev/null
cmake --build --preset release --target tamarack-entry tamarack-side tamarackctl \
    standin-platform standin-engine standin-plain
exec python3 scripts/demo.py "$@"
