#!/usr/bin/env bash
# Installs the packages, builds, starts the emulators and three daemons as separate processes, streams a summary, books a
# visit twice with one idempotency key, changes the configuration, shows the merged time line and drains a daemon. Exits
# non-zero if any check fails.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
build=${BUILD_DIR:-$root/build}
"$here/build.sh" > "${build}.demo.log" 2>&1 || { tail -40 "${build}.demo.log"; exit 1; }
bin=$build/bin
work=$(mktemp -d)
pids=()
base=${DEMO_PORT:-17100}
platform=127.0.0.1:$base

finish() {
	local code=$?
	[ "$code" -eq 0 ] || { echo "the demo failed; last lines of the logs:"; tail -n 5 "$work"/*.log; }
	kill "${pids[@]}" 2> /dev/null || true
	wait 2> /dev/null || true
	rm -rf "$work"
}
trap finish EXIT

start() { # name command...: runs the command in the background, its output in name.log
	local name=$1
	shift
	"$@" > "$work/$name.log" 2>&1 &
	pids+=($!)
}
await() { # description command...: polls until the command succeeds; fails after 20 s
	local what=$1
	shift
	for _ in $(seq 200); do
		if "$@" > /dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "timed out after 20 s: $what"
	return 1
}
expect() { # description expected actual: exits with 1 if the values differ
	if [ "$2" != "$3" ]; then echo "FAILED $1: expected '$2', got '$3'"; exit 1; fi
	echo "ok  $1"
}
address() { echo "127.0.0.1:$((base + $1))"; }
put() { curl -sf -X PUT --data-binary "@$2" "http://$platform/v1/values/$1" > /dev/null; }
all_show_revision() {
	for n in 1 2 3; do
		[ "$("$bin/godwittrestle" status --json -d "$(address $((n * 10 + 2)))" | grep -o '"revision":[0-9]*')" = "\"revision\":$1" ] || return 1
	done
}

echo "== emulators: configuration service, two prefill and two decode engines, a plain service"
start platform "$bin/standin" --kind platform --listen "$platform"
for n in 1 2; do
	start "prefill-$n" "$bin/standin" --kind engine --role prefill --model history-summary-2 --listen "$(address $((50 + n)))"
	start "decode-$n" "$bin/standin" --kind engine --role decode --model history-summary-2 --listen "$(address $((60 + n)))"
done
start booking "$bin/standin" --kind plain --listen "$(address 70)"
await "the platform emulator answers" curl -sf "http://$platform/control"

cat > "$work/instances.json" << JSON
{"daemons": [
  {"id": "entry-1", "data_centre": "pnw-a", "peer_address": "$(address 13)", "state": "live"},
  {"id": "entry-2", "data_centre": "pnw-b", "peer_address": "$(address 23)", "state": "live"},
  {"id": "entry-3", "data_centre": "pnw-c", "peer_address": "$(address 33)", "state": "live"}],
 "servers": [
  {"id": "prefill-1", "data_centre": "pnw-a", "pool": "history-prefill", "address": "$(address 51)", "state": "live"},
  {"id": "prefill-2", "data_centre": "pnw-b", "pool": "history-prefill", "address": "$(address 52)", "state": "live"},
  {"id": "decode-1", "data_centre": "pnw-a", "pool": "history-decode", "address": "$(address 61)", "state": "live"},
  {"id": "decode-2", "data_centre": "pnw-b", "pool": "history-decode", "address": "$(address 62)", "state": "live"},
  {"id": "booking-1", "data_centre": "pnw-a", "pool": "booking", "address": "$(address 70)", "state": "live"}]}
JSON
put instances "$work/instances.json"

echo "== an invalid policy is refused, a valid one is sealed and published"
sed 's/"deadline_ms": 5000/"deadline_ms": 0/' "$root/examples/policies/cascade.json" > "$work/bad.json"
code=0
"$bin/godwittrestle" validate "$work/bad.json" || code=$?
expect "validate refuses a deadline of 0 ms with exit code 3" 3 "$code"
"$bin/godwittrestle" seal --first "$root/examples/policies/cascade.json" > "$work/sealed-1.json"
put policy "$work/sealed-1.json"

echo "== three daemons"
for n in 1 2 3; do
	centre=$(echo a b c | cut -d' ' -f"$n")
	start "entry-$n" "$bin/godwittrestled" --instance "entry-$n" --data-centre "pnw-$centre" --platform-address "$platform" \
		--caller-address "$(address $((n * 10 + 1)))" --operator-address "$(address $((n * 10 + 2)))" --peer-address "$(address $((n * 10 + 3)))"
done
for n in 1 2 3; do await "entry-$n is ready" curl -sf "http://$(address $((n * 10 + 1)))/readyz"; done
expect "revision 1 is in force on all three daemons" yes "$(all_show_revision 1 && echo yes)"

echo "== a streamed summary of a long incident log"
prompt=$(for n in $(seq 400); do printf 'Visit %d: resin bed checked, brine tank refilled, valve cycled. ' "$n"; done)
printf '{"model": "history-summary", "prompt": "%s", "max_tokens": 24, "stream": true}' "$prompt" > "$work/summary.json"
curl -sN -D "$work/head" -H 'Content-Type: application/json' --data-binary "@$work/summary.json" \
	"http://$(address 31)/v1/completions" > "$work/stream"
request=$(grep -i '^x-request-id' "$work/head" | tr -d '\r' | cut -d' ' -f2)
expect "24 tokens arrive in order, each once" "$(seq -s' ' 0 23)" "$(grep '^id: ' "$work/stream" | cut -d' ' -f2 | paste -sd' ')"
expect "the stream is complete" "data: [DONE]" "$(grep DONE "$work/stream")"
digest=$(printf '%s' "$prompt" | sha256sum | cut -c1-4)
expect "the text equals the reference answer" "$(for n in $(seq 0 23); do printf '%s-%d ' "$digest" "$n"; done)" \
	"$(grep -o '"text":"[^"]*"' "$work/stream" | cut -d'"' -f4 | tr -d '\n')"

echo "== a lookup, and a booking sent twice with one idempotency key through two daemons"
lookup=$(curl -s -o "$work/lookup" -w '%{http_code}' "http://$(address 31)/services/field-service/schedules/today")
expect "a lookup is answered" 200 "$lookup"
expect "a booking without an idempotency key is refused" 428 \
	"$(curl -s -o /dev/null -w '%{http_code}' -X POST -d 'visit 7' "http://$(address 11)/services/field-service/visits")"
key=$(curl -s -X POST "http://$(address 11)/v1/idempotency-keys" | grep -o 'k1~[^"]*')
book() { curl -s -D - -o /dev/null -X POST -H "Idempotency-Key: $key" -d 'visit 7' "http://$(address "$1")/services/field-service/visits" | tr -d '\r'; }
expect "the booking ran" "X-Outcome: ran X-Replay: no" "$(book 21 | grep -E '^X-(Outcome|Replay)' | paste -sd' ')"
expect "sent again through another daemon, the booking is answered as a replay" "X-Outcome: ran X-Replay: yes" "$(book 31 | grep -E '^X-(Outcome|Replay)' | paste -sd' ')"
expect "the booking service ran it once" '"POST /visits visit 7":1' "$(curl -s "http://$(address 70)/runs" | grep -o '"POST /visits visit 7":[0-9]*')"

echo "== a configuration change, and a conflicting one that is sealed on the same base and published second"
sed 's/"priority": 1/"priority": 2/' "$root/examples/policies/cascade.json" > "$work/second.json"
sed 's/"priority": 1/"priority": 3/' "$root/examples/policies/cascade.json" > "$work/conflict.json"
"$bin/godwittrestle" seal -d "$(address 12)" "$work/second.json" > "$work/sealed-2.json"
"$bin/godwittrestle" seal -d "$(address 22)" "$work/conflict.json" > "$work/sealed-conflict.json"
put policy "$work/sealed-2.json"
await "revision 2 is in force on all three daemons" all_show_revision 2
put policy "$work/sealed-conflict.json"
await "the conflicting change is refused" sh -c "'$bin/godwittrestle' status -d $(address 12) | grep -q 'rebase on revision 2'"
expect "revision 2 is in force on all three daemons" yes "$(all_show_revision 2 && echo yes)"
"$bin/godwittrestle" status -d "$(address 12)" -d "$(address 22)" -d "$(address 32)"

echo "== the summary's time line over all processes"
"$bin/godwittrestle" timeline --request "$request" -d "$(address 12)" -d "$(address 22)" -d "$(address 32)" | tee "$work/timeline"
expect "the time line lists the events in causal order" "request_accepted lease_granted prefill_started prefill_finished decode_started first_token answer_whole" \
	"$(awk '{print $3}' "$work/timeline" | paste -sd' ')"

echo "== a daemon is drained"
drained=${pids[-3]}
"$bin/godwittrestle" drain -d "$(address 12)"
code=0
wait "$drained" || code=$?
expect "the drained daemon exits with code 0" 0 "$code"
expect "a call with the key that the drained daemon issued is still answered as a replay" "X-Outcome: ran X-Replay: yes" "$(book 21 | grep -E '^X-(Outcome|Replay)' | paste -sd' ')"
echo "all checks of the demo passed"
