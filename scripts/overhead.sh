#!/usr/bin/env bash
# Measures the latency that the daemon adds to direct calls of the emulated engines, and the tokens per second and CPU use of
# one daemon at saturation. Prints one line for each run.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/build.sh" > "$build.overhead.log" || { cat "$build.overhead.log"; exit 1; }
bin=$build/bin
work=$(mktemp -d)
base=${OVERHEAD_PORT:-17600}
pids=()
trap 'kill "${pids[@]}" 2> /dev/null || true; wait 2> /dev/null || true; rm -rf "$work"' EXIT
start() { "$@" > "$work/$RANDOM.log" 2>&1 & pids+=($!); }
await() { for _ in $(seq 200); do "$@" > /dev/null 2>&1 && return 0; sleep 0.1; done; echo "timed out after 20 s: $*"; exit 1; }
address() { echo "127.0.0.1:$((base + $1))"; }

sed -e 's/"slots_per_server": 20/"slots_per_server": 1000/' -e 's/"prefill_tokens_per_second": 20000/"prefill_tokens_per_second": 2000000/' \
	-e 's/"link_megabytes_per_second": 10000/"link_megabytes_per_second": 1000000/' -e 's/"requests_per_second": 300/"requests_per_second": 100000/' "$root/examples/policies/cascade.json" > "$work/policy.json"
"$bin/godwittrestle" seal --first "$work/policy.json" > "$work/sealed.json"
start_engines() { # port offset, milliseconds between tokens: one prefill and one decode engine
	start "$bin/standin" --kind engine --role prefill --model history-summary-2 --prefill-rate 2000000 --listen "$(address "$1")"
	start "$bin/standin" --kind engine --role decode --model history-summary-2 --slots 1000 --token-ms "$2" --listen "$(address $(($1 + 1)))"
}
start_daemon() { # port offset: starts a platform emulator and a daemon that routes to the engines at offset + 5 and + 6
	start "$bin/standin" --kind platform --listen "$(address "$1")"
	await curl -sf "http://$(address "$1")/control"
	cat > "$work/instances.json" << JSON
{"daemons": [{"id": "e1", "data_centre": "pnw-a", "peer_address": "$(address $(($1 + 3)))"}],
 "servers": [{"id": "p1", "data_centre": "pnw-a", "pool": "history-prefill", "address": "$(address $(($1 + 5)))"},
             {"id": "d1", "data_centre": "pnw-a", "pool": "history-decode", "address": "$(address $(($1 + 6)))"}]}
JSON
	curl -sf -X PUT --data-binary "@$work/instances.json" "http://$(address "$1")/v1/values/instances" > /dev/null
	curl -sf -X PUT --data-binary "@$work/sealed.json" "http://$(address "$1")/v1/values/policy" > /dev/null
	start "$bin/godwittrestled" --instance e1 --data-centre pnw-a --platform-address "$(address "$1")" --log-level WARN \
		--caller-address "$(address $(($1 + 1)))" --operator-address "$(address $(($1 + 2)))" --peer-address "$(address $(($1 + 3)))"
	await curl -sf "http://$(address $(($1 + 1)))/readyz"
	await "$bin/load" --daemon "$(address $(($1 + 1)))" --requests 1 --tokens 2
}

echo "== added time, engines with 20 ms between tokens"
start_engines 5 20
start_daemon 0
for streams in 1 20 100; do
	requests=$((streams * 5 > 20 ? streams * 5 : 20))
	"$bin/load" --prefill "$(address 5)" --decode "$(address 6)" --streams "$streams" --requests "$requests"
	"$bin/load" --daemon "$(address 1)" --streams "$streams" --requests "$requests"
done
echo "== saturation of one daemon, engines with 1 ms between tokens"
start_engines 25 1
start_daemon 20
daemon=${pids[-1]}
for streams in 10 25 50 100; do
	before=$(awk '{print $14 + $15}' "/proc/$daemon/stat")
	began=$(date +%s%N)
	"$bin/load" --daemon "$(address 21)" --streams "$streams" --requests $((streams * 8)) --tokens 400
	after=$(awk '{print $14 + $15}' "/proc/$daemon/stat")
	echo "        cores used by the daemon: $(awk -v ticks=$((after - before)) -v ns=$(($(date +%s%N) - began)) 'BEGIN {printf "%.2f", ticks / 100 / (ns / 1e9)}')"
done
