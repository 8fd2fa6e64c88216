#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. BUILD_DIR names the build folder (default build);
# SANITIZE=ON builds with the address and undefined-behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/../.."

misc/scripts/install_packages.sh
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DTEASELRUDDER_SANITIZE="${SANITIZE:-OFF}" >/dev/null
cmake --build "$build_dir"

export TEASELRUDDER_KNOWN_RED="$PWD/KNOWN-RED.txt"
export TEASELRUDDER_BUILD_DIR="$PWD/$build_dir"
# Sanitizer builds cannot follow memory that h2o keeps for the life of the process.
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=0}"
status=0
for suite in decision_tests driver_tests; do
  if [ -x "$build_dir/$suite" ]; then
    echo "== $suite"
    "$build_dir/$suite" || status=1
  fi
done
exit "$status"
