#!/usr/bin/env bash
# Installs missing packages, builds the project and runs every test and check.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
for folder in build build-asan; do cmake -DFOLDER="$folder" -P cmake/discard_carried_over.cmake; done
cmake --preset release >/dev/null
cmake --build --preset release
scripts/lint.sh
cmake --preset asan -DTAMARACK_SHELL=OFF >/dev/null
cmake --build --preset asan
scripts/run-ctest.sh build-asan
scripts/run-ctest.sh build
