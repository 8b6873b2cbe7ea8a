#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs the package protobuf-compiler, which the build does not need.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
for package in policy wire; do
	out="$root/packages/$package/generated"
	mkdir -p "$out/godwittrestle/$package"
	protoc -I "$root/packages/$package/proto" --cpp_out="$out/godwittrestle/$package" "$root/packages/$package/proto/$package.proto"
done
