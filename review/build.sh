#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into build/review, and the
# programs by the command of the deploy file if they are not there yet.
# review/build.sh [N...]: only these cases.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/glenhollow-durable-entry ] ||
    [ ! -x target/bin/glenhollow-durable-agent ]; then
    command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
    bash -c "$command"
fi
mkdir -p build/review
[ $# -gt 0 ] || set -- 1 2 3
jobs=()
for number in "$@"; do
    source=review/$number/case.cpp
    out=build/review/case-$number
    if [ -x "$out" ] &&
        [ -z "$(find "$source" review/standins -newer "$out")" ]; then
        continue
    fi
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out.new" \
        -lboost_json && mv "$out.new" "$out" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
