#!/usr/bin/env bash
# Runs the fault soak: real hosts as processes with faults from outside, and a judge of what callers were promised.
# soak.sh [SEED...] runs these seeds; without any, those of tests/soak/seeds.txt. FRESH=N adds N seeds that are drawn
# now. BUILD_DIR names a built folder (default build), FAULTS the faults of a run, JOBS how many runs go at once. The
# logs of a run that fails stay in a folder that its last line names.
set -euo pipefail
cd "$(dirname "$0")/../.."

seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  mapfile -t seeds < <(grep -oE '^[0-9]+' tests/soak/seeds.txt)
fi
for _ in $(seq "${FRESH:-0}"); do
  seeds+=("$((RANDOM * 32768 + RANDOM))")
done
printf '%s\n' "${seeds[@]}" | xargs -P "${JOBS:-3}" -I SEED \
  "${BUILD_DIR:-build}/soak" --seed=SEED --faults="${FAULTS:-12}"
echo "soak: ${#seeds[@]} seeds, none with a broken promise"
