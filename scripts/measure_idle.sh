#!/usr/bin/env bash
# Measures the processor time and memory of three entries without requests,
# which only monitor each other, read the log and renew the leases of eight runs
# on four workers. Needs ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${BASILSPUR_DEMO_PORT:-19200}
source scripts/cell.sh
standin standin_platform platform; platform=$address
for i in 1 2 3 4; do
  standin standin_worker "worker-$i"
  curl -sf "http://$platform/control/vm?name=vm-$i&worker=$address&cpu=16000&memory=60000" >/dev/null
done
entry_pids=()
for i in 1 2 3; do start_entry $i; entry_pids+=("${pids[-1]}"); done
for i in 1 2 3; do wait_ready $i; done
for i in 1 2 3 4 5 6 7 8; do
  operate job create "job-$i" --command "work 600000" --cpu 1000 --memory 100 >/dev/null
done
sleep 2
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
seconds=15
declare -A before
for pid in "${entry_pids[@]}"; do before[$pid]=$(ticks "$pid"); done
sleep $seconds
for pid in "${entry_pids[@]}"; do
  used=$(($(ticks "$pid") - before[$pid]))
  echo "entry: $(awk "BEGIN {print $used / $seconds}")% of a core," \
    "$(awk '/VmRSS/ {print $2}' "/proc/$pid/status") kB resident"
done
