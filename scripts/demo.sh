#!/usr/bin/env bash
# Starts a fleet of real processes on loopback, applies a sample catalogue,
# sends a mixed load for about 15 s, prints the results and stops all processes
# that it started. Exits 0 if requests of every kind were served and no event
# was lost, duplicated or out of order.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_DIR=$(mktemp -d)
. scripts/fleet.sh
DURATION=${DURATION:-15s}

finish() {
	stop_fleet
	rm -rf "$FLEET_DIR"
}
trap finish EXIT

# await_service N waits until gateway-N serves a generation and a service call:
# gateways discover the backend servers only in the first seconds after their start.
await_service() {
	local deadline=$((SECONDS + 20)) gateway
	gateway=http://127.0.0.1:$(gateway_port "$1")
	until curl -sf -m 5 -o /dev/null -H 'Authorization: Bearer demo-key-old-quarry' \
		-d '{"model":"block-check","input":"warm-up #tokens=1"}' "$gateway/v1/responses" &&
		curl -sf -m 5 -o /dev/null -H 'Authorization: Bearer demo-key-old-quarry' "$gateway/v1/services/block-records/1"; do
		if [ $SECONDS -ge $deadline ]; then
			echo "gateway-$1 does not serve within 20 s"
			return 1
		fi
		sleep 0.3
	done
}

# preemptions prints the sum of the preemptions of all engines.
preemptions() {
	local i
	for i in $(seq "$ENGINES"); do
		curl -sf -m 5 "http://127.0.0.1:$(engine_port "$i")/control/counters" | grep -o '"preempted":[0-9]*' | cut -d: -f2
	done | awk '{ sum += $1 } END { print sum + 0 }'
}

echo "starting $ENGINES engines, $APPS application servers, $GATEWAYS gateways and $CONTROLLERS controllers"
start_backends
timeout 30 "$BIN/persimmonctl" -table-url "$(platform_url)" -object-url "$(platform_url)/objects" -author demo \
	catalogue apply -message "sample catalogue" -yes examples/kernfield.yaml
start_gateways
for i in $(seq "$GATEWAYS"); do await_service "$i"; done
timeout 20 "$BIN/persimmonctl" -gateways "$(admins | sed 's#http://##g')" status
echo "sending load for $DURATION"
timeout 90 "$BIN/loadgen" run -workload examples/workload.yaml -targets "$(targets)" -duration "$DURATION"
echo "preemptions at all engines: $(preemptions)"
