#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start, into target/review-2:
# the stand-ins and one program for each case. Needs the build of the deploy
# file first; adds no dependency to it.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Isrc/libs -Itests -Ireview/standins-2/src"
compile() { g++ $flags -c "$1" -o "$2"; }
own=(tests/standins/run_standin.cc tests/standins/store_standin.cc
  tests/standins/query.cc tests/system/process.cc tests/fakes/free_address.cc
  review/standins-2/src/small_deployment.cc)
objects=()
for source in "${own[@]}"; do
  object=$out/$(basename "$source" .cc).o
  compile "$source" "$object" &
  objects+=("$object")
done
wait
libraries=$(find target -name 'libbasilspur_net.a' -o -name 'libbasilspur_base.a' | sort -r)
link() {
  compile "$1" "$2.o"
  g++ -o "$2" "$2.o" "${objects[@]}" $libraries -llog4cplus -lpthread
}
link review/standins-2/src/store.cc "$out/store" &
link review/standins-2/src/executor.cc "$out/executor" &
for source in review/[0-9]*/src/case.cc; do
  number=$(basename "$(dirname "$(dirname "$source")")")
  link "$source" "$out/case-$number" &
done
wait
for program in store executor case-6 case-9 case-10; do
  test -x "$out/$program" || { echo "$out/$program is not built" >&2; exit 1; }
done
