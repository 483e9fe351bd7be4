#!/usr/bin/env bash
# Demonstrates the main functions: builds basilspur, starts stand-ins for the
# platform and three entries as separate processes, runs a batch job until it
# has finished, and sends a request of 5 MB through each entry to an executor,
# which must return the same bytes. Stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")"
./scripts/install_packages.sh
./scripts/build.sh build
base=${BASILSPUR_DEMO_PORT:-18100}
source scripts/cell.sh

standin standin_platform platform; platform=$address
standin standin_executor executor-1; executor1=$address
standin standin_executor executor-2; executor2=$address
for i in 1 2; do
  standin standin_worker "worker-$i"
  curl -sf "http://$platform/control/vm?name=vm-$i&worker=$address&rack=r1&dc=moss&cpu=16000&memory=60000" >/dev/null
done
for i in 1 2 3; do start_entry $i; done
for i in 1 2 3; do wait_ready $i; done
echo "three entries are ready"

operate service put reports --team klarhet --wait \
  --target "$executor1/8/vm-1/moss" --target "$executor2/8/vm-2/moss" \
  --cpu 4000 --memory 8000
operate job create lyrics-1 --team kanevedenn --kind timing \
  --command "work 1500" --cpu 2000 --memory 4000 --wait
operate job list

head -c 5000000 /dev/urandom >"$work/request"
for i in 1 2 3; do
  curl -sf -H 'Host: reports' --data-binary "@$work/request" \
    "http://127.0.0.1:$((base + i * 10))/echo" -o "$work/answer"
  cmp "$work/request" "$work/answer"
  echo "entry-$i: $(stat -c %s "$work/answer") bytes answered, byte for byte the same"
done
operate entry list
operate audit list
