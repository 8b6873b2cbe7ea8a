#!/usr/bin/env bash
# Builds the program that plays the script cases of this review, with all its stand-ins, into target/review/. Needs only
# the packages that the deploy file names.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=${REVIEW_BUILD_DIR:-$root/target/review}
mkdir -p "$out"
rm -f "$out"/*.o
pids=()
for source in "$root"/review/standins/*.cpp; do
	object=$out/$(basename "$source" .cpp).o
	c++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -c "$source" -o "$object" &
	pids+=($!)
done
for pid in "${pids[@]}"; do
	wait "$pid"
done
c++ -o "$out/review_case" "$out"/*.o -lboost_json -pthread
