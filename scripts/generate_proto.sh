#!/usr/bin/env bash
# Regenerates the committed protobuf code; with --check fails where the committed code is stale.
set -euo pipefail
cd "$(dirname "$0")/../src"
out=.
[ "${1:-}" = --check ] && out=$(mktemp -d)
protoc --cpp_out="$out" rosearch/wire/*.proto
[ "$out" = . ] && exit 0
for file in "$out"/rosearch/wire/*.pb.*; do
  cmp "$file" "rosearch/wire/$(basename "$file")"
done
