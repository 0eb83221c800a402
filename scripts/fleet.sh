#!/usr/bin/env bash
# Functions that start and stop a fleet of real processes on loopback: one
# platform stand-in, engines, application servers, gateways and controllers in
# four data centres. Sourced by demo.sh and faults.sh.
#
# Settings and logs go to $FLEET_DIR; the process id of NAME is in
# $FLEET_DIR/NAME.pid, so that only processes started here are ever signalled.

PORT_BASE=${PORT_BASE:-21000}
DATA_CENTRES=(${DATA_CENTRES:-dc-north dc-east dc-south dc-west})
GATEWAYS=${GATEWAYS:-7}
ENGINES=${ENGINES:-14}
APPS=${APPS:-4}
CONTROLLERS=${CONTROLLERS:-2}
MODEL=${MODEL:-plan-large}
SERVICES=(${SERVICES:-bookings roster records bookings})
BIN=${BIN:-bin}

platform_port() { echo "$PORT_BASE"; }
engine_port() { echo $((PORT_BASE + 100 + $1)); }
app_port() { echo $((PORT_BASE + 200 + $1)); }
gateway_port() { echo $((PORT_BASE + 300 + $1)); }
admin_port() { echo $((PORT_BASE + 400 + $1)); }
peer_port() { echo $((PORT_BASE + 500 + $1)); }
controller_port() { echo $((PORT_BASE + 600 + $1)); }
data_centre() { echo "${DATA_CENTRES[$((($1 - 1) % ${#DATA_CENTRES[@]}))]}"; }
service() { echo "${SERVICES[$((($1 - 1) % ${#SERVICES[@]}))]}"; }
platform_url() { echo "http://127.0.0.1:$(platform_port)"; }

# targets prints the callers' addresses of all gateways, comma-separated.
targets() { for i in $(seq "$GATEWAYS"); do printf 'http://127.0.0.1:%s,' "$(gateway_port "$i")"; done | sed 's/,$//'; }
# admins prints the operators' addresses of all gateways, comma-separated.
admins() { for i in $(seq "$GATEWAYS"); do printf 'http://127.0.0.1:%s,' "$(admin_port "$i")"; done | sed 's/,$//'; }

write_platform_settings() {
	{
		printf 'listen: 127.0.0.1:%s\nhost_list_lag: 1s\nweights_per_second: 2\nhosts:\n' "$(platform_port)"
		for i in $(seq "$ENGINES"); do
			printf -- '- {name: engine-%s, kind: engine, address: "127.0.0.1:%s", data_centre: %s, state: live}\n' "$i" "$(engine_port "$i")" "$(data_centre "$i")"
		done
		for i in $(seq "$APPS"); do
			printf -- '- {name: app-%s, kind: app, address: "127.0.0.1:%s", data_centre: %s, state: live, service: %s}\n' "$i" "$(app_port "$i")" "$(data_centre "$i")" "$(service "$i")"
		done
	} >"$FLEET_DIR/platform.yaml"
}

write_engine_settings() {
	cat >"$FLEET_DIR/engine-$1.yaml" <<-END
		name: engine-$1
		listen: 127.0.0.1:$(engine_port "$1")
		models: [$MODEL]
		kv_capacity_tokens: ${KV_TOKENS:-20000}
		max_batch: 33
		step_base: 10ms
		step_per_sequence: 400us
		weights_url: $(platform_url)
		seed: $1
	END
}

write_app_settings() {
	cat >"$FLEET_DIR/app-$1.yaml" <<-END
		name: app-$1
		service: $(service "$1")
		listen: 127.0.0.1:$(app_port "$1")
		data_centre: $(data_centre "$1")
		delay: 10ms
	END
}

write_gateway_settings() {
	cat >"$FLEET_DIR/gateway-$1.yaml" <<-END
		name: gateway-$1
		data_centre: $(data_centre "$1")
		listen: 127.0.0.1:$(gateway_port "$1")
		admin_listen: 127.0.0.1:$(admin_port "$1")
		peer_listen: 127.0.0.1:$(peer_port "$1")
		peers: [$(for i in $(seq "$GATEWAYS"); do printf '"127.0.0.1:%s",' "$(peer_port "$i")"; done)]
		peer_secret: loopback-demo-peer-secret
		response_keys: [{id: demo1, secret: loopback-demo-response-key}]
		platform:
		  table_url: $(platform_url)
		  object_url: $(platform_url)/objects
		  hosts_url: $(platform_url)
		policy: ${POLICY:-owner}
	END
}

write_controller_settings() {
	cat >"$FLEET_DIR/controller-$1.yaml" <<-END
		name: controller-$1
		data_centre: $(data_centre "$1")
		admin_listen: 127.0.0.1:$(controller_port "$1")
		platform:
		  table_url: $(platform_url)
		  object_url: $(platform_url)/objects
		  hosts_url: $(platform_url)
	END
}

# start BINARY NAME runs a binary with the settings of NAME in the background.
start() {
	"$BIN/$1" -config "$FLEET_DIR/$2.yaml" >>"$FLEET_DIR/$2.log" 2>&1 &
	echo $! >"$FLEET_DIR/$2.pid"
}

pid_of() { cat "$FLEET_DIR/$1.pid"; }

# stop NAME sends SIGTERM and waits for the end; it prints a failing exit code.
stop() {
	local pid code=0
	[ -e "$FLEET_DIR/$1.pid" ] || return 0
	pid=$(pid_of "$1")
	rm "$FLEET_DIR/$1.pid"
	kill -TERM "$pid" 2>/dev/null || true
	wait "$pid" || code=$?
	[ "$code" = 0 ] || echo "$1 ended with exit code $code"
	return 0
}

await_ready() {
	local deadline=$((SECONDS + 20))
	until curl -sf -o /dev/null "$1"; do
		if [ $SECONDS -ge $deadline ]; then
			echo "not ready within 20 s: $1"
			return 1
		fi
		sleep 0.1
	done
}

# check_ports fails if a port of the fleet is taken. Without it, a run would use
# and disturb another fleet that has the same PORT_BASE.
check_ports() {
	local port
	for port in $(platform_port) $(for i in $(seq "$ENGINES"); do engine_port "$i"; done) \
		$(for i in $(seq "$APPS"); do app_port "$i"; done) \
		$(for i in $(seq "$GATEWAYS"); do gateway_port "$i"; admin_port "$i"; peer_port "$i"; done) \
		$(for i in $(seq "$CONTROLLERS"); do controller_port "$i"; done); do
		if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
			echo "port $port is in use; set PORT_BASE to a free range"
			return 1
		fi
	done
}

# start_backends starts platform, engines and application servers.
start_backends() {
	check_ports
	write_platform_settings
	start standin-platform platform
	await_ready "$(platform_url)/hosts"
	for i in $(seq "$ENGINES"); do write_engine_settings "$i"; start standin-engine "engine-$i"; done
	for i in $(seq "$APPS"); do write_app_settings "$i"; start standin-app "app-$i"; done
}

# start_gateways starts gateways and controllers and waits until the gateways
# are ready.
start_gateways() {
	for i in $(seq "$GATEWAYS"); do write_gateway_settings "$i"; start gateway "gateway-$i"; done
	for i in $(seq "$CONTROLLERS"); do write_controller_settings "$i"; start controller "controller-$i"; done
	for i in $(seq "$GATEWAYS"); do await_ready "http://127.0.0.1:$(admin_port "$i")/readyz"; done
}

# stop_fleet stops everything that was started, gateways first and the platform
# last.
stop_fleet() {
	local kind pid_file
	for kind in controller gateway app engine platform; do
		for pid_file in "$FLEET_DIR"/"$kind"*.pid; do
			[ -e "$pid_file" ] || continue
			stop "$(basename "$pid_file" .pid)"
		done
	done
}
