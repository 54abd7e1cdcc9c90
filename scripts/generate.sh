#!/usr/bin/env bash
# Writes the committed C++ of schema/glenhollow.capnp; needed only after the
# schema changed, never by the build.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:src/glenhollow/wire --src-prefix=schema schema/glenhollow.capnp
mv src/glenhollow/wire/glenhollow.capnp.c++ src/glenhollow/wire/glenhollow.capnp.cpp
