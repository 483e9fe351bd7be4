#!/usr/bin/env bash
# Builds the cases of the independent review by their own script and checks that
# each program is there, since that script does not fail with its compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=()
for source in review/[0-9]*/*.cc; do
  programs+=("target/review/$(basename "$source" .cc)")
done
rm -f "${programs[@]}"
./review/build.sh
for program in "${programs[@]}"; do
  [ -x "$program" ] && continue
  echo "review/build.sh has not built $program" >&2
  exit 1
done
echo "review: ${#programs[@]} programs built"
