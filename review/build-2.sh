#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10 into target/review-2/. Needs only the packages of the deploy file.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$(dirname "$here")/target/review-2
mkdir -p "$out"
cd "$here/standins-2"
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c standins.cpp -o "$out/standins.o"
for source in *.cpp; do
	name=${source%.cpp}
	[ "$name" = standins ] && continue
	g++ "${flags[@]}" "$source" "$out/standins.o" -o "$out/$name" -lfmt -lcrypto -lpthread
done
echo "built the stand-ins into target/review-2/"
