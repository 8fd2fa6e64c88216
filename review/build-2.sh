#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -o target/review-2/small_deployment review/stand_ins_2/small_deployment.cc
