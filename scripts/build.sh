#!/usr/bin/env bash
# Builds into build/<kind>/bin: scripts/build.sh [debug|release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
case "$kind" in
debug | release | asan | tsan) ;;
*)
    echo "build.sh: '$kind' is not one of debug, release, asan, tsan" >&2
    exit 2
    ;;
esac
cmake --preset "$kind" >/dev/null
cmake --build "build/$kind"
