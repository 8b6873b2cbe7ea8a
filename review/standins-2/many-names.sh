#!/usr/bin/env bash
# No case: one daemon lives on while up to 2,800 others, 60 at a time and each with a name of its own, start with it as their
# seed and are killed 1.8 s later. Needs the build of the deploy file. Says after how many names the first daemon ended.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
daemon=$root/target/bin/godwittrestled
[ -x "$daemon" ] || { echo "no $daemon: run the build of the deploy file"; exit 2; }
work=$(mktemp -d) || exit 2
network=127.$((RANDOM % 200 + 20))
main=0
others=()
finish() {
	kill -KILL "$main" "${others[@]}" 2> /dev/null
	rm -rf "$work"
}
trap finish EXIT
cd "$root" || exit 2
write_settings() {
	cat > "$work/daemon-$1.json" <<-END
		{"node-name": "front-$1", "role": "router", "machine-class": "front", "serves": ["front", "control"], "ip": "$2",
		"zone": "zone-a", "region": "area", "zones": {"zone-a": "area"}, "listen-addrs": {"frontend": "$2:8144",
		"ready": "$2:8140", "control": "$2:8146"}, "internal-ports": [7660, 7675], "seed-nodes": ["$network.0.1:8146"],
		"bootstrap": false, "limits": {"memory-mb": 260, "max-fds": 4100}, "heartbeat-ms": 1200, "bounds":
		{"contact-ms": 3000, "drain-ms": 2000, "grace-s": 8, "config-apply-ms": 2000, "retry-budget-ratio": 0.2,
		"budget-window-s": 10, "retry-budget-slack": 56}, "platform": {"address": "$network.0.2:7000", "form": "read"}}
	END
}
write_settings 0 "$network.0.1"
GODWITTRESTLE_BOOT=$work/daemon-0.json "$daemon" > "$work/main.log" 2>&1 &
main=$!
disown "$main"
name=1
while [ "$name" -le 2800 ]; do
	others=()
	for _ in $(seq 60); do
		write_settings "$name" "$network.$((1 + name / 250)).$((1 + name % 250))"
		GODWITTRESTLE_BOOT=$work/daemon-$name.json "$daemon" > /dev/null 2>&1 &
		others+=("$!")
		disown "$!"
		name=$((name + 1))
	done
	sleep 1.8
	kill -KILL "${others[@]}" 2> /dev/null
	if ! kill -0 "$main" 2> /dev/null; then
		echo "the daemon ended after $((name - 1)) names:"
		tail -n 2 "$work/main.log"
		exit 1
	fi
done
echo "the daemon lives after $((name - 1)) names and holds $(find "/proc/$main/fd" | wc -l) descriptors"
