#!/usr/bin/env bash
# Builds the programs of the cases 9 to 13, each with its stand-ins, into
# build/review-3. They start the programs that the build of the deploy file made.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/{9,10,11,12,13}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "build/review-3/case-$number" -lboost_json
done
