#!/usr/bin/env bash
# Fuzzes one decoder, guided by coverage, under the sanitizers of clang:
# scripts/fuzz.sh TARGET SECONDS. Needs clang-14 and libclang-rt-14-dev. Inputs
# that are new stay in build/fuzz/corpus, findings in build/fuzz/findings.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:?TARGET, one of $(ls tests/fuzz/corpus | paste -sd' ')}
length=${2:?SECONDS}
given=tests/fuzz/corpus/$target
[ -d "$given" ] || {
    echo "fuzz.sh: '$target' is not one of $(ls tests/fuzz/corpus | paste -sd' ')" >&2
    exit 2
}
checks=-fsanitize=fuzzer-no-link,address,undefined,float-cast-overflow
# vptr would need the libraries' type information; function can't be compiled
# together with coroutines by this clang.
checks="$checks -fno-sanitize=vptr,function -fno-sanitize-recover=all"
cmake -S . -B build/fuzz -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
    -DCMAKE_CXX_FLAGS="$checks" -DGLENHOLLOW_FUZZ=ON >/dev/null
cmake --build build/fuzz --target fuzz_guided
mkdir -p "build/fuzz/corpus/$target" "build/fuzz/findings/$target"
GLENHOLLOW_FUZZ_TARGET=$target exec build/fuzz/bin/fuzz_guided \
    -max_total_time="$length" -max_len=16384 -timeout=5 -rss_limit_mb=1024 \
    -malloc_limit_mb=64 -print_final_stats=1 \
    -artifact_prefix="build/fuzz/findings/$target/" \
    "build/fuzz/corpus/$target" "$given"
