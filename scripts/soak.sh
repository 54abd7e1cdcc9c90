#!/usr/bin/env bash
# Plays the programs under the faults of a seed, on this machine alone:
# scripts/soak.sh [--shape NAME] [--seed N] [--seconds S]. Shapes lie in
# tests/soak/shapes. Logs: build/soak/SEED, with a shape build/soak/NAME-SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
shape=
rest=()
while [ $# -gt 0 ]; do
    if [ "$1" = --seed ] && [ $# -gt 1 ]; then
        seed=$2
        shift
    elif [ "$1" = --shape ] && [ $# -gt 1 ]; then
        shape=$2
        shift
    else
        rest+=("$1")
    fi
    shift
done
# Copies, so that a build meanwhile does not disturb it.
from=${SOAK_PROGRAMS:-build/release/bin}
folder=build/soak/${shape:+$shape-}$seed
bin=$folder/bin
mkdir -p "$bin"
for program in glenhollow-soak glenhollow-durable-entry \
    glenhollow-durable-agent standin-store standin-backend; do
    cp "$from/$program" "$bin/"
done
[ -z "$shape" ] || rest=(--node-file "tests/soak/shapes/$shape.conf"
    --shape "$shape" "${rest[@]}")
exec "$bin/glenhollow-soak" --seed "$seed" --programs "$bin" \
    --folder "$folder" "${rest[@]}"
