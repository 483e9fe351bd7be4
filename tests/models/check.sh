#!/usr/bin/env bash
# Checks that a model gives the expected result:
#   check.sh MODEL.m VARIANT pass|PROPERTY [CONSTANT=VALUE...]
# VARIANT 0 is the protocol itself. In each other variant a rule of the protocol
# is broken, and PROPERTY names the invariant that must fail. CONSTANT=VALUE
# overrides a constant of the model. Prints the number of explored states.
set -euo pipefail
model=$1 variant=$2 expected=$3
shift 3
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
sed "s/^  BROKEN: 0;/  BROKEN: $variant;/" "$model" >"$work_dir/model.m"
for override in "$@"; do
  sed -i -E "s/^  ${override%%=*}: [0-9]+;/  ${override%%=*}: ${override#*=};/" "$work_dir/model.m"
done
rumur --threads "${BASILSPUR_MODEL_THREADS:-2}" --deadlock-detection off --output "$work_dir/model.c" "$work_dir/model.m"
# The checker swaps 16 bytes at a time, which x86-64 does only with this option.
swap_option=()
if [ "$(uname -m)" = x86_64 ]; then swap_option=(-mcx16); fi
cc -std=c11 -O2 "${swap_option[@]}" -o "$work_dir/model" "$work_dir/model.c" -lpthread -latomic 2>"$work_dir/warnings" ||
  { cat "$work_dir/warnings"; exit 2; }
result=pass
"$work_dir/model" >"$work_dir/output" 2>&1 || result=fail
echo "$(basename "$model") variant $variant $*: $result, expected: $expected"
grep -E 'states, ' "$work_dir/output"
if [ "$expected" = pass ]; then
  [ "$result" = pass ] && exit 0
elif [ "$result" = fail ] && grep -qF "\"$expected\"" "$work_dir/output"; then
  exit 0
fi
tail -n 80 "$work_dir/output"
exit 1
