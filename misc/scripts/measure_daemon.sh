#!/usr/bin/env bash
# Builds, then compares statements through one daemon with statements on a direct connection to the primary: latency of
# sequential statements, and throughput with concurrent connections. The group has three test doubles of members. Stops
# everything it started. Uses free ports of 127.0.0.1. Arguments are passed to daemon_load.
# SLOTS is the number of slots of each member (default 3); PRINT_METRICS=yes prints the daemon's metrics at the end.
set -euo pipefail
cd "$(dirname "$0")/../.."

build_dir=${BUILD_DIR:-build}
slots=${SLOTS:-3}
cmake -S . -B "$build_dir" -G Ninja >/dev/null
cmake --build "$build_dir" -j "${BUILD_JOBS:-3}" --target teaselrudderd database_member daemon_load >/dev/null

. misc/scripts/processes.sh

members=""
member_ports=""
member_pids=""
for name in first second third; do
  start "$name" "$build_dir/database_member" --connect_delay_ms=10 --connections=20 --slots="$slots"
  member_pids+=${member_pids:+,}$pid
  port=$(wait_for_value "$name" port)
  member_ports+=${member_ports:+,}$port
  members+="${members:+,}{\"id\": \"$name\", \"ip\": \"127.0.0.1\", \"port\": $port, \"failure_domain\": \"local\","
  members+="\"slots\": $slots, \"connections\": 20, \"leaving\": false}"
done

cat >"$work_dir/configuration.json" <<END
{"version": 1, "change_id": "measure-daemon", "draining_hosts": [], "draining_failure_domains": [],
 "groups": [{"id": "group", "members": [$members]}],
 "services": [{"name": "measured", "group": "group", "freshness": "own_writes", "max_age_ms": 1000,
               "urgency": "normal", "idempotent": false, "read_only": false, "deadline_ms": 10000,
               "max_in_flight": 10000}]}
END
start daemon "$build_dir/teaselrudderd" --host_id=measured --failure_domain=local \
  --config_file="$work_dir/configuration.json" --token_key=measurement-key-only
daemon_pid=$pid
daemon_port=$(wait_for_value daemon caller)

echo "machine: $(nproc) processors;$(uptime)"
# The time limit ends the measurement even if the daemon hangs.
timeout 240 "$build_dir/daemon_load" --member_ports="$member_ports" --member_pids="$member_pids" \
  --daemon_port="$daemon_port" --daemon_pid="$daemon_pid" "$@"
echo "machine:$(uptime)"
if [ "${PRINT_METRICS:-no}" = yes ]; then
  curl -sS -m 5 "http://127.0.0.1:$daemon_port/metrics"
fi
