#!/usr/bin/env bash
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the removals.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/small_deployment ] || exit 2
exec target/review-2/small_deployment removed "$folder/record.txt"
