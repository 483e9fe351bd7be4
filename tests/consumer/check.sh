#!/usr/bin/env bash
# Checks that the installed libraries can be used by other projects: installs a
# build into a temporary directory, then builds and runs a program against it:
#   check.sh BUILD-DIRECTORY
set -euo pipefail
source_dir=$(cd "$(dirname "$0")" && pwd)
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
cmake --install "$1" --prefix "$work_dir/installed" >/dev/null
cmake -S "$source_dir" -B "$work_dir/build" -DCMAKE_PREFIX_PATH="$work_dir/installed" >/dev/null
cmake --build "$work_dir/build" >/dev/null
"$work_dir/build/consumer"
