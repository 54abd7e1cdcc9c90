#!/usr/bin/env bash
# Set-up, build, format, lint and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh release
scripts/format.sh --check
scripts/lint.sh
ctest --test-dir build/release --output-on-failure --timeout 300
