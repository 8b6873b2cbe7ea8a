#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/install_packages.sh"
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > "$build.log" 2>&1 || { cat "$build.log"; exit 1; }
cmake --build "$build" "$@"
