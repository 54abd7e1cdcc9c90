#!/usr/bin/env bash
# Plays the programs under the faults of a seed, on this machine alone:
# scripts/soak.sh [--seed N] [--seconds S]. Logs: build/soak/SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
rest=()
while [ $# -gt 0 ]; do
    if [ "$1" = --seed ] && [ $# -gt 1 ]; then
        seed=$2
        shift
    else
        rest+=("$1")
    fi
    shift
done
bin=${SOAK_PROGRAMS:-build/release/bin}
exec "$bin/glenhollow-soak" --seed "$seed" --programs "$bin" \
    --folder "build/soak/$seed" "${rest[@]}"
