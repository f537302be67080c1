#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    [ -n "$package" ] || continue
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done < packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y "${missing[@]}"
fi
