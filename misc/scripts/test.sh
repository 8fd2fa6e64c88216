#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests. BUILD_DIR is the build folder (default build); SANITIZE=ON
# builds with the address and undefined-behaviour sanitizers; SHARDS is the number of processes for each suite.
set -euo pipefail
cd "$(dirname "$0")/../.."

misc/scripts/install_packages.sh
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja -DTEASELRUDDER_SANITIZE="${SANITIZE:-OFF}" -DTEASELRUDDER_WERROR=ON >/dev/null
cmake --build "$build_dir"

export TEASELRUDDER_KNOWN_RED="$PWD/KNOWN-RED.txt"
export TEASELRUDDER_BUILD_DIR="$PWD/$build_dir"
# Without leak detection, since the leak checker reports memory that h2o keeps until the process ends.
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=0}"
# Each suite runs in several processes, since the random tests would take minutes in one process with sanitizers.
shards=${SHARDS:-6}
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
status=0
passed=0
failed=0
skipped=0
for suite in decision_tests driver_tests; do
  pids=()
  for index in $(seq 0 $((shards - 1))); do
    TEASELRUDDER_SHARD="$index/$shards" "$build_dir/$suite" >"$logs/$suite.$index" 2>&1 &
    pids+=("$!")
  done
  for index in $(seq 0 $((shards - 1))); do
    if ! wait "${pids[$index]}"; then
      status=1
      echo "== $suite, shard $index of $shards"
      cat "$logs/$suite.$index"
    fi
    grep '^known red' "$logs/$suite.$index" || true
    line=$(grep -E '^[0-9]+ passed, [0-9]+ failed' "$logs/$suite.$index" | tail -n 1 || true)
    if [ -z "$line" ]; then
      echo "$suite, shard $index of $shards, ended without a result"
      status=1
      continue
    fi
    passed=$((passed + $(cut -d' ' -f1 <<<"$line")))
    failed=$((failed + $(cut -d' ' -f3 <<<"$line")))
    if [[ $line == *skipped* ]]; then
      skipped=$((skipped + $(cut -d' ' -f5 <<<"$line")))
    fi
  done
done
echo "$passed passed, $failed failed, $skipped skipped"
exit "$status"
