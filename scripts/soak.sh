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
# Copies, so that a build meanwhile does not disturb it.
from=${SOAK_PROGRAMS:-build/release/bin}
bin=build/soak/$seed/bin
mkdir -p "$bin"
for program in glenhollow-soak glenhollow-durable-entry \
    glenhollow-durable-agent standin-store standin-backend; do
    cp "$from/$program" "$bin/"
done
exec "$bin/glenhollow-soak" --seed "$seed" --programs "$bin" \
    --folder "build/soak/$seed" "${rest[@]}"
