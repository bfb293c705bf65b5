#!/usr/bin/env bash
# Runs clang-tidy on one file, unless the same preprocessed text passed with the same settings before, here or in
# another checkout.
set -euo pipefail
build=$1
file=$2
command=$(python3 - "$build/compile_commands.json" "$(realpath "$file")" <<'PY'
import json, shlex, sys
for entry in json.load(open(sys.argv[1])):
    if entry["file"] == sys.argv[2]:
        words = shlex.split(entry["command"])
        words = words[1:] if words[0].endswith("ccache") else words
        print(shlex.join(words[:words.index("-o")]))
        break
PY
)
# Not part of the build: a stale file or one whose library is missing.
[ -n "$command" ] || { echo "tidy: $file is in no target"; exit 1; }
key=$( (eval "$command -E -P $file" 2>/dev/null | sed "s|$PWD/||g"; cat .clang-tidy "$file") | sha256sum | cut -d' ' -f1)
stamps=${XDG_CACHE_HOME:-$HOME/.cache}/rosearch-tidy
[ -e "$stamps/$key" ] && exit 0
if ! clang-tidy --quiet -p "$build" "$file" >"$build/tidy-$key.log" 2>&1; then
  grep -v 'warnings generated\|Suppressed\|Use -header' "$build/tidy-$key.log"
  exit 1
fi
mkdir -p "$stamps"
touch "$stamps/$key"
