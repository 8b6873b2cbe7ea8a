#!/usr/bin/env bash
# Runs one scripted case: run-case.sh CASE_FOLDER PROGRAM DAEMON_NUMBER...
# PROGRAM plays the store, the servers and the callers, writes the settings of the daemons and judges. The daemons with the
# numbers given are started, each as a process of its own, with the command of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
program=$2
shift 2
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
standin=$root/target/review-2/$program
daemon=$root/target/bin/godwittrestled
[ -x "$daemon" ] || { echo "no $daemon: run the build of the deploy file"; exit 2; }
[ -x "$standin" ] || { echo "no $standin: run review/build-2.sh"; exit 2; }
work=$(mktemp -d) || exit 2
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
started=()
finish() {
	for process in "${started[@]}"; do
		kill -KILL "$process" 2> /dev/null
	done
	if [ -n "${KEEP_LOGS:-}" ]; then
		mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"
	fi
	rm -rf "$work"
}
trap finish EXIT
cd "$root" || exit 2
"$standin" "$work" "$network" "${TROUBLE:-1}" "$case_folder/record.txt" &
judge=$!
started+=("$judge")
for _ in $(seq 100); do
	[ -e "$work/standins-serve" ] && break
	sleep 0.1
done
[ -e "$work/standins-serve" ] || { echo "the stand-ins did not start"; exit 2; }
for number in "$@"; do
	GODWITTRESTLE_BOOT=$work/daemon-$number.json "$daemon" > "$work/daemon-$number.log" 2>&1 &
	started+=("$!")
	echo "$!" > "$work/daemon-$number.pid"
	disown "$!"
done
wait "$judge"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
