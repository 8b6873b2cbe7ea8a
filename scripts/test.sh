#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint and runs all tests. The result does not depend on the machine's
# speed. The tests in KNOWN-RED.txt run too, but their failures do not count.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/build.sh"
"$here/lint.sh"
known=$(grep -E '^test: ' "$root/KNOWN-RED.txt" 2>/dev/null | cut -d' ' -f2- | paste -sd'|' || true)
if [ -n "$known" ]; then
	echo "known failing tests, run but not counted:"
	cat "$root/KNOWN-RED.txt"
	ctest --test-dir "$build" --output-on-failure -R "^($known)\$" || true
	ctest --test-dir "$build" --output-on-failure -j 4 -E "^($known)\$"
else
	ctest --test-dir "$build" --output-on-failure -j 4
fi
