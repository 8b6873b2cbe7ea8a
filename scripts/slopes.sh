#!/usr/bin/env bash
# Measures how the cost of each role of a daemon grows, with decision cores in one process and in virtual time.
# docs/CAPACITY.md is derived from the results. Takes some minutes and up to 7 GB of memory; --short leaves out the largest
# numbers of daemons.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
build=${BUILD_DIR:-$(dirname "$here")/build}
"$here/build.sh" --target slopes > "$build.slopes.log" || { cat "$build.slopes.log"; exit 1; }
"$build/bin/slopes" "$@"
