#!/usr/bin/env bash
# Checks formatting and lint of the project's own code, without generated Cap'n Proto code.
# FIX=1 formats in place instead of reporting.
# BUILD_DIR is a configured build folder with compile commands (default build). JOBS is the number of parallel linters.
set -euo pipefail
cd "$(dirname "$0")/../.."

build_dir=${BUILD_DIR:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cc' '*.h' ':!*.capnp.h' ':!*.capnp.c++')
if [ "${FIX:-0}" = 1 ]; then
  clang-format -i "${sources[@]}"
else
  clang-format --dry-run --Werror "${sources[@]}"
fi
mapfile -t units < <(git ls-files --cached --others --exclude-standard -- '*.cc')
printf '%s\0' "${units[@]}" | xargs -0 -P "${JOBS:-$(nproc)}" -n 1 clang-tidy --quiet -p "$build_dir" 2>/dev/null
echo "style: ${#sources[@]} files clean"
