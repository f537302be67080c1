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
# clang can't read gcc's precompiled headers: lint without them.
mkdir -p "$build/tidy"
sed -E 's/-Winvalid-pch|-fpch-preprocess|-include [^ ]*cmake_pch\.hxx//g' \
    "$build/compile_commands.json" > "$build/tidy/compile_commands.json"
units=()
for source in "${existing[@]}"; do
    case "$source" in *.cpp) units+=("$source") ;; esac
done
printf '%s\0' "${units[@]}" \
    | xargs -0 -n 1 -P "$(nproc)" scripts/tidy-one.sh "$build/tidy"
echo "clang-tidy: ${#units[@]} files clean"
