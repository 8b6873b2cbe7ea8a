#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from: cores in one process, in virtual time. Takes some minutes and
# up to 7 GB; --short leaves the largest fleets out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
build=${BUILD_DIR:-$(dirname "$here")/build}
"$here/build.sh" --target slopes > "$build.slopes.log" || { cat "$build.slopes.log"; exit 1; }
"$build/bin/slopes" "$@"
