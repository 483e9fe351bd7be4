#!/usr/bin/env bash
# Formats all sources. With --check, changes nothing, reports what is not
# formatted and fails if there is any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then mode=(--dry-run --Werror); fi
find src tests platform -path '*/generated/*' -prune -o \( -name '*.h' -o -name '*.cc' \) -print0 |
  xargs -0 clang-format "${mode[@]}"
