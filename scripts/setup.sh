#!/usr/bin/env bash
# Installs what the build, the tests and the measurements need (Debian 12).
set -euo pipefail
packages=(g++ cmake ninja-build ccache libboost1.81-dev
    libboost-program-options1.81-dev libboost-log1.81-dev
    libboost-json1.81-dev libboost-url1.81-dev libcapnp-dev capnproto
    libxxhash-dev libssl-dev libedit-dev catch2 clang-format-14 clang-tidy-14
    curl jq doxygen)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
