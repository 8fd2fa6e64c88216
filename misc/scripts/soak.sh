#!/usr/bin/env bash
# Runs the soak test: injects faults into real host processes and checks the guarantees to callers.
# soak.sh [SEED...] runs the given seeds, by default those of tests/soak/seeds.txt; "SEED unfenced" runs a seed with
# primaries that go on after their replacement, "SEED restored" with a store that comes back from older copies, and
# "SEED odd" with blanks in callers' texts, and "SEED removing" with hosts that end for good; several of these words may
# follow a seed, in this order. FRESH=N adds N
# random seeds; FORM is what follows each of them.
# BUILD_DIR is a built folder (default build), FAULTS the number of faults of a run (default 12), JOBS the number of
# parallel runs (default 3). The last line of a failed run names the folder with its logs.
set -euo pipefail
cd "$(dirname "$0")/../.."

seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  mapfile -t seeds < <(grep -oE '^[0-9]+( unfenced)?( restored)?( odd)?( removing)?' tests/soak/seeds.txt)
fi
for _ in $(seq "${FRESH:-0}"); do
  seeds+=("$((RANDOM * 32768 + RANDOM))${FORM:+ $FORM}")
done
printf '%s\n' "${seeds[@]}" | sed 's/ \([a-z]\)/ --\1/g' | xargs -P "${JOBS:-3}" -L 1 \
  "${BUILD_DIR:-build}/soak" --faults="${FAULTS:-12}" --seed
echo "soak: ${#seeds[@]} seeds, no broken guarantees"
