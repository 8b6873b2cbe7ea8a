#!/usr/bin/env bash
# Runs policy_bench for all users, workloads and routers with five seeds, prints the table and whether each bound is met, and
# plots goodput and waste against load into docs/policy.png. Equal seeds give equal results.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/build.sh" --target policy_bench > "$build.bench.log" || { cat "$build.bench.log"; exit 1; }
"$build/bin/policy_bench" --csv "$build/policy.csv" "$@"
gnuplot -e "csv='$build/policy.csv'; out='$root/docs/policy.png'" "$here/policy.gnuplot"
echo "plotted docs/policy.png"
