#!/usr/bin/env bash
# Regenerates docs/settings.md from the option table in the code. Needs the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
TAMARACK_WRITE_SETTINGS_PAGE=1 "${BUILD_DIR:-build}/bin/shell-settings" -tc="*settings page*"
