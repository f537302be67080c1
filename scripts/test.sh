#!/usr/bin/env bash
# Installs missing packages, builds the project and runs every test and check.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
cmake --preset release >/dev/null
cmake --build --preset release
scripts/lint.sh
cmake --preset asan -DTAMARACK_SHELL=OFF >/dev/null
cmake --build --preset asan
scripts/run-ctest.sh build-asan
scripts/run-ctest.sh build
