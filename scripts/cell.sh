# Functions to run a cell of separate processes on loopback, with stand-ins
# for the platform. To be sourced; all processes are stopped when the shell
# exits.
# shellcheck shell=bash
bin=$PWD/build/bin
work=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# standin PROGRAM NAME: starts a stand-in on a free port; sets `address`.
standin() {
  "$bin/$1" 127.0.0.1:0 >"$work/$2.port" 2>"$work/$2.log" &
  pids+=($!)
  until [ -s "$work/$2.port" ]; do sleep 0.02; done
  address=127.0.0.1:$(cat "$work/$2.port")
}

# start_entry NUMBER: starts an entry. Requires `platform`, the address of the
# platform's stand-in, and `base`, the port from which its ports are computed.
start_entry() {
  local port=$((base + $1 * 10))
  curl -sf "http://$platform/control/vm?name=entry-vm-$1&dc=moss" >/dev/null
  cat >"$work/entry-$1.yaml" <<YAML
entry:
  name: entry-$1
  data_center: moss
  vm: entry-vm-$1
listen:
  callers: 127.0.0.1:$port
  operators: 127.0.0.1:$((port + 1))
  links: 127.0.0.1:$((port + 2))
  status: 127.0.0.1:$((port + 3))
platform:
  log: $platform
  vms: $platform
YAML
  "$bin/basilspurd" --settings "$work/entry-$1.yaml" 2>"$work/entry-$1.log" &
  pids+=($!)
}

wait_ready() {
  until curl -sf "http://127.0.0.1:$((base + $1 * 10 + 3))/readyz" >/dev/null; do sleep 0.05; done
}

# operate ARGUMENTS...: runs the operators' command line client against entry 1.
operate() { "$bin/basilspur" --entry "127.0.0.1:$((base + 11))" --actor demo "$@"; }
