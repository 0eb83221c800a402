#!/usr/bin/env bash
# Functions that start and stop a fleet of real processes on loopback: one
# platform stand-in, engines, application servers, gateways and controllers in
# four data centres. Sourced by demo.sh, docs-check.sh and faults.sh.
#
# Settings and logs are written to $FLEET_DIR. The process id of NAME is in
# $FLEET_DIR/NAME.pid, so that only processes started here receive signals.

PORT_BASE=${PORT_BASE:-21000}
DATA_CENTRES=(${DATA_CENTRES:-dc-north dc-east dc-south dc-west})
GATEWAYS=${GATEWAYS:-7}
ENGINES=${ENGINES:-14}
APPS=${APPS:-4}
CONTROLLERS=${CONTROLLERS:-4}
MODEL=${MODEL:-plan-large}
SERVICES=(${SERVICES:-bookings roster records bookings})
BIN=${BIN:-bin}
# LINKS=1 puts a forwarder in front of the platform and of the peer addresses of all
# gateways. Gateway N then listens at 127.0.1.N and dials from there, so that the
# forwarder can tell gateways apart, and its peers connect to 127.0.2.N.
LINKS=${LINKS:-}

platform_port() { echo "$PORT_BASE"; }
engine_port() { echo $((PORT_BASE + 100 + $1)); }
app_port() { echo $((PORT_BASE + 200 + $1)); }
gateway_port() { echo $((PORT_BASE + 300 + $1)); }
admin_port() { echo $((PORT_BASE + 400 + $1)); }
peer_port() { echo $((PORT_BASE + 500 + $1)); }
controller_port() { echo $((PORT_BASE + 600 + $1)); }
link_port() { case $1 in gateway-*) echo $((PORT_BASE + 700 + ${1##*-})) ;; *) echo $((PORT_BASE + 750 + ${1##*-})) ;; esac; }
links_control_port() { echo $((PORT_BASE + 790)); }
peer_host() { if [ -n "$LINKS" ]; then echo "127.0.1.$1"; else echo 127.0.0.1; fi; }
# peer_contact N prints the address to which other gateways connect for gateway-N.
peer_contact() { if [ -n "$LINKS" ]; then echo "127.0.2.$1:$(peer_port "$1")"; else echo "127.0.0.1:$(peer_port "$1")"; fi; }
data_centre() { echo "${DATA_CENTRES[$((($1 - 1) % ${#DATA_CENTRES[@]}))]}"; }
service() { echo "${SERVICES[$((($1 - 1) % ${#SERVICES[@]}))]}"; }
platform_url() { echo "http://127.0.0.1:$(platform_port)"; }
# platform_url_of NAME prints the base URL of the platform for a process.
platform_url_of() { if [ -n "$LINKS" ]; then echo "http://127.0.0.1:$(link_port "$1")"; else platform_url; fi; }

# targets prints the URLs of all gateways for callers, separated by commas.
targets() { for i in $(seq "$GATEWAYS"); do printf 'http://127.0.0.1:%s,' "$(gateway_port "$i")"; done | sed 's/,$//'; }
# admins prints the URLs of the admin addresses of all gateways, separated by commas.
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
		peer_listen: $(peer_host "$1"):$(peer_port "$1")
		peer_advertise: $(peer_contact "$1")
		peers: [$(for i in $(seq "$GATEWAYS"); do printf '"%s",' "$(peer_contact "$i")"; done)]
		peer_secret: loopback-demo-peer-secret
		response_keys: [{id: demo1, secret: loopback-demo-response-key}]
		platform:
		  table_url: $(platform_url_of "gateway-$1")
		  object_url: $(platform_url_of "gateway-$1")/objects
		  hosts_url: $(platform_url_of "gateway-$1")
		policy: ${POLICY:-owner}
	END
}

write_controller_settings() {
	cat >"$FLEET_DIR/controller-$1.yaml" <<-END
		name: controller-$1
		data_centre: $(data_centre "$1")
		admin_listen: 127.0.0.1:$(controller_port "$1")
		platform:
		  table_url: $(platform_url_of "controller-$1")
		  object_url: $(platform_url_of "controller-$1")/objects
		  hosts_url: $(platform_url_of "controller-$1")
	END
}

write_links_settings() {
	local i
	{
		printf 'control: 127.0.0.1:%s\nroutes:\n' "$(links_control_port)"
		for i in $(seq "$GATEWAYS"); do
			printf -- '- {to: gateway-%s, listen: "%s", target: "%s:%s"}\n' "$i" "$(peer_contact "$i")" "$(peer_host "$i")" "$(peer_port "$i")"
		done
		for i in $(seq -f 'gateway-%g' "$GATEWAYS") $(seq -f 'controller-%g' "$CONTROLLERS"); do
			printf -- '- {from: %s, to: platform, listen: "127.0.0.1:%s", target: "127.0.0.1:%s"}\n' "$i" "$(link_port "$i")" "$(platform_port)"
		done
		printf 'callers:\n'
		for i in $(seq "$GATEWAYS"); do printf '  %s: gateway-%s\n' "$(peer_host "$i")" "$i"; done
	} >"$FLEET_DIR/links.yaml"
}

# start_links starts the forwarder in the background.
start_links() {
	write_links_settings
	"$BIN/loadgen" partition -config "$FLEET_DIR/links.yaml" >>"$FLEET_DIR/links.log" 2>&1 &
	echo $! >"$FLEET_DIR/links.pid"
}

# start BINARY NAME starts a binary with the settings of NAME in the background.
start() {
	"$BIN/$1" -config "$FLEET_DIR/$2.yaml" >>"$FLEET_DIR/$2.log" 2>&1 &
	echo $! >"$FLEET_DIR/$2.pid"
}

pid_of() { cat "$FLEET_DIR/$1.pid"; }

# stop NAME sends SIGTERM and waits until the process ends. It prints the exit code
# unless it is 0.
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

# check_ports fails if a port of the fleet is in use. Without this check, a run would
# use and disturb another fleet with the same PORT_BASE.
check_ports() {
	local port i
	if [ -n "$LINKS" ]; then
		for i in $(seq "$GATEWAYS"); do
			check_address "127.0.1.$i" "$(peer_port "$i")" || return 1
			check_address "127.0.2.$i" "$(peer_port "$i")" || return 1
			check_address 127.0.0.1 "$(link_port "gateway-$i")" || return 1
		done
		for i in $(seq "$CONTROLLERS"); do check_address 127.0.0.1 "$(link_port "controller-$i")" || return 1; done
		check_address 127.0.0.1 "$(links_control_port)" || return 1
	fi
	for port in $(platform_port) $(for i in $(seq "$ENGINES"); do engine_port "$i"; done) \
		$(for i in $(seq "$APPS"); do app_port "$i"; done) \
		$(for i in $(seq "$GATEWAYS"); do gateway_port "$i"; admin_port "$i"; peer_port "$i"; done) \
		$(for i in $(seq "$CONTROLLERS"); do controller_port "$i"; done); do
		check_address 127.0.0.1 "$port" || return 1
	done
}

check_address() {
	if (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; then
		echo "port $2 of $1 is in use; set PORT_BASE to a free range"
		return 1
	fi
}

# start_backends starts the platform, the forwarder if LINKS is set, the engines and the
# application servers.
start_backends() {
	check_ports
	write_platform_settings
	start standin-platform platform
	await_ready "$(platform_url)/hosts"
	if [ -n "$LINKS" ]; then start_links; fi
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

# stop_fleet stops all processes that were started: controllers and gateways first, the
# platform last.
stop_fleet() {
	local kind pid_file
	for kind in controller gateway links app engine platform; do
		for pid_file in "$FLEET_DIR"/"$kind"*.pid; do
			[ -e "$pid_file" ] || continue
			stop "$(basename "$pid_file" .pid)"
		done
	done
}
