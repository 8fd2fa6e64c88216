#!/usr/bin/env bash
# Runs one simulated day on the users' test bench: platform_day.sh SITE DAY [options of `fleetbench run`].
# SITE is the name of a site file. KIT is the folder of the bench (default ../given/kit/more/system). WHY is the reason
# that the bench records for the run (default: this script and DAY).
set -euo pipefail
cd "$(dirname "$0")/../.."

kit=${KIT:-../given/kit/more/system}
if [ "$#" -lt 2 ]; then
  echo "usage: $0 SITE DAY [options]" >&2
  exit 2
fi
if [ ! -x "$kit/bin/fleetbench" ]; then
  echo "$0: $kit/bin/fleetbench is missing or not executable; set KIT to the folder of the bench" >&2
  exit 2
fi
site=$1
day=$2
shift 2
exec "$kit/bin/fleetbench" run "$kit/sites/$site.toml" "$day" --why "${WHY:-platform_day.sh $day}" "$@"
