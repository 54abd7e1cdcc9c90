#!/usr/bin/env bash
# Set-up, build, a small deployment, a load with resubmissions and one entry
# killed in the middle; exits non-zero if a promise broke.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh release >/dev/null
dir=$(mktemp -d)
trap 'scripts/deployment.sh stop "$dir"; rm -rf "$dir"' EXIT
scripts/deployment.sh start "$dir" --entries 3 --runners 10
echo "3 entries and 10 runners with 8 slots each; entry e2 is killed after 5 s"
(
    sleep 5
    kill -KILL "$(cat "$dir/entry-e2.pid")"
) &
killer=$!
status=0
build/release/bin/glenhollow-load --deployment "$dir/deployment.json" \
    --rate 25 --jobs 400 --tasks loguniform:1,110 \
    --work-ms choice:20@0.7,60@0.25,300@0.05 --resubmit 0.1 --seed 7 ||
    status=$?
wait "$killer"
if [ "$status" -eq 0 ]; then
    echo "all promises held"
else
    echo "a promise broke" >&2
fi
exit "$status"
