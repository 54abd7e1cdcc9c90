#!/usr/bin/env bash
# Runs the linter over the library and the programs. A file that was found
# clean is looked at again only when it or a header has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
kept=build/lint
mkdir -p "$kept"
headers=$(find src platform -name '*.hpp' -not -path '*/wire/*' -print0 | sort -z |
    xargs -0 cat .clang-tidy | sha256sum | cut -c1-16)
todo=()
while IFS= read -r file; do
    mark="$kept/$(sha256sum "$file" | cut -c1-16).$headers"
    [ -e "$mark" ] || todo+=("$file=$mark")
done < <(find src platform programs standins -name '*.cpp' -not -path '*/wire/*' |
    grep -v boost_source.cpp | sort)
[ ${#todo[@]} -eq 0 ] && exit 0
printf '%s\n' "${todo[@]}" | xargs -P "$(nproc)" -I{} bash -c '
    file=${1%%=*}
    clang-tidy-14 --quiet -p build/release "$file" 2>/dev/null && touch "${1#*=}"
' _ {}
