#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 6 on into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -pthread "$case" review/stand_ins_2/*.cpp \
        -o "build-review-2/case-$number"
done
