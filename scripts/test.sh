#!/usr/bin/env bash
# The single command for all checks: installs packages, checks the format,
# builds, the cases of the review included, runs the linter, prints the known
# failures and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_packages.sh
./scripts/format.sh --check
./scripts/build.sh build
./scripts/build_review.sh
./scripts/lint.sh build
cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure -j 4 --no-tests=error
