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
# Adds the result of shard $2 of $3 of the suite $1 to the sums.
add_result() {
  grep '^known red' "$logs/$1.$2" || true
  local line
  line=$(grep -E '^[0-9]+ passed, [0-9]+ failed' "$logs/$1.$2" | tail -n 1 || true)
  if [ -z "$line" ]; then
    echo "$1, shard $2 of $3, ended without a result"
    status=1
    return
  fi
  passed=$((passed + $(cut -d' ' -f1 <<<"$line")))
  failed=$((failed + $(cut -d' ' -f3 <<<"$line")))
  if [[ $line == *skipped* ]]; then
    skipped=$((skipped + $(cut -d' ' -f5 <<<"$line")))
  fi
}

# Runs the suite $1 in $2 processes at the same time.
run_suite() {
  local suite=$1 count=$2 pids=() index
  for index in $(seq 0 $((count - 1))); do
    TEASELRUDDER_SHARD="$index/$count" "$build_dir/$suite" >"$logs/$suite.$index" 2>&1 &
    pids+=("$!")
  done
  for index in $(seq 0 $((count - 1))); do
    if ! wait "${pids[$index]}"; then
      status=1
      echo "== $suite, shard $index of $count"
      cat "$logs/$suite.$index"
    fi
    add_result "$suite" "$index" "$count"
  done
}

run_suite decision_tests "$shards"
run_suite driver_tests "$shards"
# Crowds of callers against one host: one test at a time, apart from other load.
run_suite limit_tests 1
echo "$passed passed, $failed failed, $skipped skipped"
exit "$status"
