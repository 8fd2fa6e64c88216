# Sourced by scripts that start programs in the background. When the script exits, stops these programs and removes
# $work_dir.

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

# start NAME PROGRAM [ARGUMENT...]: starts a program in the background. Its standard output goes to $work_dir/NAME.out,
# its standard error to $work_dir/NAME.log. Sets $pid to its process id.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" </dev/null &
  pid=$!
  pids+=("$pid")
}

# wait_for_value NAME FIELD: waits until the program NAME has printed FIELD=NUMBER, and prints the number.
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
  echo "$(basename "$0"): $name did not print $field=NUMBER in time; its standard error:" >&2
  cat "$work_dir/$name.log" >&2
  return 1
}
