#!/usr/bin/env bash
# Builds what the cases 4 to 8 start: the programs by the command of the deploy
# file if they are not there yet, the project's stand-ins into target/bin, and
# the cases into build/review-2. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/glenhollow-durable-entry ] ||
    [ ! -x target/bin/glenhollow-durable-agent ]; then
    command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
    bash -c "$command"
fi
cmake --build target --target standin-store standin-backend
mkdir -p build/review-2
jobs=()
for source in review/[4-8]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "build/review-2/case-$number" -lboost_json &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
