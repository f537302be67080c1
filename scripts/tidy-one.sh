#!/usr/bin/env bash
# Runs clang-tidy on one file, unless the same file with the same headers passed before.
set -euo pipefail
build=$1
source=$2
cache=${TIDY_CACHE:-$HOME/.cache/tamarack-tidy}
mkdir -p "$cache"
headers=$(find include tests -name '*.hpp' -print0 | sort -z | xargs -0 cat | sha256sum)
state=$(cat "$source" .clang-tidy CMakeLists.txt | sha256sum)
mark="$cache/$(printf '%s %s' "$headers" "$state" | sha256sum | cut -d' ' -f1)"
[ -f "$mark" ] && exit 0
if ! out=$(clang-tidy --quiet -p "$build" --extra-arg=-Wno-everything "$source" 2>/dev/null); then
    printf '%s\n' "$out"
    exit 1
fi
touch "$mark"
