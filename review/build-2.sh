#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 6 on, and of left_out_2,
# into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
for source in review/stand_ins_2/*.cpp; do
    g++ -std=c++20 -O1 -pthread -c "$source" \
        -o "$out/$(basename "$source" .cpp).o"
done
for case in review/*/case.cpp review/left_out_2/*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -pthread "$case" "$out"/*.o -o "$out/case-$name"
done
