#!/usr/bin/env bash
# Checks formatting and lint of the project's own sources. With --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.hpp' | sort -u)
existing=()
for source in "${sources[@]}"; do [ -f "$source" ] && existing+=("$source"); done
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${existing[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${existing[@]}"
echo "format: ${#existing[@]} files clean"
[ "${1:-}" = "--format-only" ] && exit 0
python3 scripts/tidy.py --build "$build" --jobs "${LINT_JOBS:-$(nproc)}"
