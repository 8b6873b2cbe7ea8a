#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are not installed yet.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done < "$here/packages.txt"
if [ "${#missing[@]}" -gt 0 ]; then
	echo "installing: ${missing[*]}"
	as_root=()
	[ "$(id -u)" -eq 0 ] || as_root=(sudo)
	"${as_root[@]}" apt-get update -qq
	"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
fi
