# Sourced by scripts that start programs in the background. Stops all of them and removes $work_dir at the end.

work_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work_dir"
}
trap cleanup EXIT

# Starts a program in the background, with its output in $work_dir/NAME.out and .log; leaves its id in $pid.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" </dev/null &
  pid=$!
  pids+=("$pid")
}

# Waits until the program NAME has printed FIELD=value and prints the value.
wait_for_value() {
  local name=$1 field=$2 value
  for _ in $(seq 200); do
    value=$(sed -n "s/.*\b$field=\([0-9]*\).*/\1/p" "$work_dir/$name.out" | head -n 1)
    if [ -n "$value" ]; then
      echo "$value"
      return
    fi
    sleep 0.05
  done
  echo "$(basename "$0"): $name did not start" >&2
  cat "$work_dir/$name.log" >&2
  return 1
}
