#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain, into review/build/. The project itself is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

out=review/build
mkdir -p "$out"
compiler=${CXX:-g++}
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I .)
objects=()
for name in net network store member hosts; do
  "$compiler" "${flags[@]}" -c "review/stand_ins/$name.cc" -o "$out/$name.o"
  objects+=("$out/$name.o")
done
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  "$compiler" "${flags[@]}" "$source" "${objects[@]}" -o "$out/case_$number"
done
