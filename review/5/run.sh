#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case_5 ] && [ -x target/teaselrudder-platform ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 115 review/build/case_5 review/5/record.txt "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
