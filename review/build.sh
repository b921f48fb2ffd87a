#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/stand_ins/*.cpp; do
  g++ -std=c++20 -O1 -pthread "$source" \
    -o "target/review/$(basename "$source" .cpp)" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
