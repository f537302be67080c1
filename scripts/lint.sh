#!/usr/bin/env bash
# Checks the formatting of the project's sources and runs clang-tidy. With --fix, only formats in
# place.
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
# Names of the users' platform may occur only in platform/ and in tests.
wire_names='"(Request-Id|Deadline-Ms|Expect-Instance|Expect-Version|Resumes|Not-Executed|Response-Signature'
wire_names+='|Prompt-Prefix|Server-Limit|Server-Leaving|Token-Usage|Length-Hint|Wait-Ms|Tenant|Last-Event-Id|Instance-Id'
wire_names+='|apiKeys|pathPrefix|trafficSplit|ratePerS|targetLatencyMs|outputText|keyed\.op|keyed\.servers)"'
wire_names+='|/tamarackglade/|log-(append|read|newest|join)'
if grep -nE "$wire_names" -r src include apps --include='*.cpp' --include='*.hpp' | grep -v '#include'; then
    echo "lint: names of the users' platform occur outside platform/" >&2
    exit 1
fi
clang-format --dry-run --Werror "${existing[@]}"
echo "format: ${#existing[@]} files clean"
[ "${1:-}" = "--format-only" ] && exit 0
python3 scripts/tidy.py --build "$build" --jobs "${LINT_JOBS:-$(nproc)}"
