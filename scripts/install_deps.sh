#!/usr/bin/env bash
# Installs the packages that building, testing and linting need. Does nothing where all of them are there.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache
  libboost1.81-dev libboost-json1.81-dev libcxxopts-dev libgoogle-glog-dev catch2
  libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libbenchmark-dev
  clang-format clang-tidy lld python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
