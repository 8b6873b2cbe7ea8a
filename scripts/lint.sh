#!/usr/bin/env bash
# Checks the formatting of every C++ file and runs clang-tidy on every C++ source, except generated code.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$root/build}
cd "$root"
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '/generated/')
clang-format-19 --dry-run -Werror "${all[@]}"
mapfile -t sources < <(printf '%s\n' "${all[@]}" | grep '\.cpp$')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-19 --quiet -p "$build" --warnings-as-errors='*' 2> /dev/null
echo "format and lint: ${#all[@]} files clean"
