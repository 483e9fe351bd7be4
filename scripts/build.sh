#!/usr/bin/env bash
# Builds everything into a folder: scripts/build.sh FOLDER [CMAKE-OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$folder" -G Ninja "${launcher[@]}" "$@" >/dev/null
cmake --build "$folder" -- --quiet
