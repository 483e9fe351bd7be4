#!/usr/bin/env bash
# Runs the linter: scripts/lint.sh BUILD-FOLDER. clang-tidy 14 does not parse
# the coroutines of GCC 12, so sources that use Boost.Asio are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
folders=(base records state jobs lease interference placement routing resend metrics settings
  replica link operators)
files=(src/app/*/*.cc src/tools/basilspur_bench/*.cc)
for folder in "${folders[@]}"; do files+=(src/libs/"$folder"/*.cc); done
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$1" --quiet 2>/dev/null
