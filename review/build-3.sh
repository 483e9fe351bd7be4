#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md into target/review-3. Run it
# after the line `build` of deploy/system.toml, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd target/review-3
sources=(../../review/standins-3/src/*.cc ../../tests/standins/store_standin.cc
  ../../tests/standins/query.cc)
objects=()
for source in "${sources[@]}"; do
  object=$(basename "$source" .cc).o
  g++ -std=c++20 -O1 -pthread -I ../../src/libs -I ../../tests -c "$source" \
    -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
g++ -pthread "${objects[@]}" ../src/libs/libbasilspur_net.a \
  ../src/libs/libbasilspur_base.a -llog4cplus -o play
