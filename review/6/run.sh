#!/usr/bin/env bash
# Exits with 1 if accepted jobs are not run in calm though the executors are
# idle, 0 if all are run, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RECORD="$here/record.txt" timeout 118 target/review-2/case-6
code=$?
[ $code -le 2 ] && exit $code
exit 2
