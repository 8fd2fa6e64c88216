#!/usr/bin/env bash
# Demonstrates a failover. Builds, then starts a test double of the store, a group of three test doubles of members, and
# two daemons. Writes through one daemon, reads the write through the other, kills the primary, and measures the time
# until writes are acknowledged again. Stops everything it started. Uses free ports of 127.0.0.1.
set -euo pipefail
cd "$(dirname "$0")/../.."

misc/scripts/install_packages.sh
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja >/dev/null
cmake --build "$build_dir" --target teaselrudderd teaselctl database_member store_stand_in

. misc/scripts/processes.sh

start store "$build_dir/store_stand_in"
store_port=$(wait_for_value store port)

domains=(fukuoka kumamoto kagoshima)
commands="SET GROUP booking"
declare -A member_pid
for domain in "${domains[@]}"; do
  start "$domain" "$build_dir/database_member" --connect_delay_ms=30 --connections=40 --replay_lag_ms=50
  member_pid[$domain]=$pid
  port=$(wait_for_value "$domain" port)
  commands+=" MEMBER $domain AT 127.0.0.1:$port IN $domain SLOTS 3 CONNECTIONS 40"
done
commands+="; SET SERVICE slots GROUP booking FRESHNESS own_writes URGENCY urgent DEADLINE 10s"

declare -A caller_port operator_port
static_hosts=""
for index in 0 1; do
  start "host$index" "$build_dir/teaselrudderd" --host_id="host$index" --failure_domain="${domains[$index]}" \
    --store_endpoints="127.0.0.1:$store_port" --token_key=demonstration-key-only --static_hosts="$static_hosts"
  caller_port[$index]=$(wait_for_value "host$index" caller)
  operator_port[$index]=$(wait_for_value "host$index" operator)
  static_hosts="127.0.0.1:$(wait_for_value "host$index" peer)"
done

echo "== configuration, through host0"
"$build_dir/teaselctl" --host="127.0.0.1:${operator_port[0]}" "$commands"

# request HOST BODY: sends a statement for the service to a daemon and prints the answer.
request() {
  curl -sS -m 15 -H 'content-type: application/json' -d "$2" \
    "http://127.0.0.1:${caller_port[$1]}/v1/services/slots/statements"
}
write_statement='INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value'
write() {
  request "$1" "{\"statements\": [{\"sql\": \"$write_statement\", \"params\": [\"$2\", \"$3\"]}]}"
}
# write_until_acknowledged HOST KEY VALUE: repeats a write until it is acknowledged, and prints the answer.
write_until_acknowledged() {
  local answer
  for _ in $(seq 300); do
    answer=$(write "$@" || true)
    if [[ $answer == *'"results"'* ]]; then
      echo "$answer"
      return
    fi
    sleep 0.1
  done
  echo "demo: no acknowledgement after 300 attempts to write; last answer: $answer" >&2
  return 1
}

echo "== a write through host0"
answer=$(write_until_acknowledged 0 household-7 "tuesday 09:00")
echo "$answer"
token=$(sed -n 's/.*"token":"\([^"]*\)".*/\1/p' <<<"$answer")
primary=$(sed -n 's/.*"served_by":"\([^"]*\)".*/\1/p' <<<"$answer")

echo "== the same session reads it through host1, although replicas lag by 50 ms"
read_body='{"statements": [{"sql": "SELECT value FROM kv WHERE key = $1", "params": ["household-7"]}], "read_only": true,'
answer=$(request 1 "$read_body \"token\": \"$token\"}")
echo "$answer"
[[ $answer == *'tuesday 09:00'* ]]

echo "== the primary, $primary, is killed"
killed_at=$(date +%s%N)
kill -9 "${member_pid[$primary]}"
write_until_acknowledged 1 household-8 "wednesday 14:00"
acknowledged_at=$(date +%s%N)
echo "writes resumed after $(((acknowledged_at - killed_at) / 1000000)) ms"

echo "== the first write is still there"
answer=$(request 0 "$read_body \"freshness\": \"fresh\"}")
echo "$answer"
[[ $answer == *'tuesday 09:00'* ]]
echo "demo: done"
