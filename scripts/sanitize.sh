#!/usr/bin/env bash
# Builds everything with one sanitizer ("address" or "thread") and runs the tests on it.
set -euo pipefail
kind=$1
build=build/$kind
export TSAN_OPTIONS="suppressions=$PWD/scripts/tsan.supp"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DROSEARCH_SANITIZE="$kind" >/dev/null
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
