#!/usr/bin/env bash
# clang-format and clang-tidy over every file of ours, and a check that generated code is current.
set -euo pipefail
build=${1:-build/release}
scripts/generate_proto.sh --check
scripts/check_events.py
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
# A file whose preprocessed text passed before is not read again: clang-tidy costs up to 20 s a file.
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 scripts/tidy_one.sh "$build"
echo "lint: ${#files[@]} files clean"
