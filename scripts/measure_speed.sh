#!/usr/bin/env bash
# Measures the rate and latency of requests through an entry and of direct calls
# of the executor in the same run, which shows the cost that the entry adds.
# Also measures the memory of the idle entry, and its memory and processor time
# after the load. Needs ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${BASILSPUR_DEMO_PORT:-19100}
source scripts/cell.sh
standin standin_platform platform; platform=$address
standin standin_executor executor-1; executor1=$address
start_entry 1
wait_ready 1
entry_pid=${pids[-1]}
echo "idle entry: $(awk '/VmRSS/ {print $2}' "/proc/$entry_pid/status") kB resident"
operate service put reports --wait --queue-limit 1000 --target "$executor1/64"
load() {
  "$bin/basilspur_load" --entry "127.0.0.1:$((base + 10))" --direct "$executor1" \
    --service reports "$@"
}
echo "half of 8 slots, requests of 5 ms:"
load --connections 16 --rate 800 --requests 4000 --target '/x?work_ms=5' --rounds 2
echo "as fast as answered, 32 connections:"
load --connections 32 --requests 40000 --rounds 2
echo "after load: $(awk '/VmRSS/ {print $2}' "/proc/$entry_pid/status") kB resident," \
  "$(awk '{print ($14 + $15) / 100}' "/proc/$entry_pid/stat") s of processor time"
