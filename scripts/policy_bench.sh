#!/usr/bin/env bash
# Runs the policy bench over all users, workloads and routers with five seeds, prints the table and the bounds, and plots
# goodput and waste against load into docs/policy.png. The same seeds give the same figures.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/build.sh" --target policy_bench > "$build.bench.log" || { cat "$build.bench.log"; exit 1; }
"$build/bin/policy_bench" --csv "$build/policy.csv" "$@"
gnuplot -e "csv='$build/policy.csv'; out='$root/docs/policy.png'" "$here/policy.gnuplot"
echo "plotted docs/policy.png"
