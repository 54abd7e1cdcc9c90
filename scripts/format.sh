#!/usr/bin/env bash
# Formats the code; with --check it only tells what is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
# shellcheck disable=SC2086
find src platform programs standins tests samples \( -name '*.hpp' -o -name '*.cpp' \) \
    -not -path '*/wire/*' -print0 | xargs -0 clang-format-14 $mode
