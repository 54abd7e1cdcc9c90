#!/usr/bin/env bash
# Set-up, build, format, lint and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh release
scripts/format.sh --check
scripts/lint.sh
# Tests listed in KNOWN-RED.txt, by the first word of a line, are run and told of,
# so that nobody misses one that has gone green; the others give the verdict.
known=""
if [ -s KNOWN-RED.txt ]; then
    known=$(cut -d' ' -f1 KNOWN-RED.txt | sort -u | paste -sd'|')
    echo "Known to fail, without a say in the verdict:"
    cat KNOWN-RED.txt
    for name in ${known//|/ }; do
        if ctest --test-dir build/release --timeout 300 -R "^$name\$" \
            --no-tests=error >/dev/null 2>&1; then
            echo "known red $name: passed this time"
        else
            echo "known red $name: still fails"
        fi
    done
fi
ctest --test-dir build/release --output-on-failure --timeout 300 \
    ${known:+-E "^($known)\$"}
