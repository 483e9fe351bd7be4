#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review. Needs what
# the build of the deploy file needs, and its programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
shared=(
  review/standins/executor.cc review/standins/deployment.cc
  tests/standins/store_standin.cc tests/standins/query.cc
  tests/fakes/free_address.cc
  src/libs/net/address.cc src/libs/net/asio.cc src/libs/net/http_client.cc
  src/libs/net/http_server.cc src/libs/net/http_shutdown.cc
  src/libs/net/spawn.cc
  src/libs/base/clock.cc src/libs/base/error.cc src/libs/base/hashing.cc
  src/libs/base/log_rate_limiter.cc src/libs/base/logging.cc
  src/libs/base/random.cc
)
flags=(-std=c++20 -O1 -Wall -Wno-mismatched-new-delete -Isrc/libs -Itests
  -Ireview/standins)
objects=()
for source in "${shared[@]}"; do
  object=target/review/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for program in review/*/*.cc; do
  case $program in review/standins/*) continue ;; esac
  g++ "${flags[@]}" "$program" "${objects[@]}" -llog4cplus -lpthread \
    -o "target/review/$(basename "$program" .cc)" &
done
wait
