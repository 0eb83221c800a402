#!/usr/bin/env bash
# Runs the commands of a documentation page against a small fleet. In a block
# marked ```console, each line "$ COMMAND" is run. "# exit N" at the end of the
# line states the expected exit code (default 0). The lines up to the next
# command are the expected output, where "..." matches any text; a command
# without such lines may print anything. Commands that begin with export or
# NAME= run in this shell instead of a child process, so that they keep their effect.
#
# The make targets on README.md are run separately. Here make -n only checks that
# each of them exists.
set -euo pipefail
cd "$(dirname "$0")/.."

PAGE=${PAGE:-docs/OPERATIONS.md}
COMMAND_TIMEOUT=${COMMAND_TIMEOUT:-15}
export PORT_BASE=${PORT_BASE:-31000} GATEWAYS=2 ENGINES=2 APPS=4 CONTROLLERS=1
PAGE_PORT_BASE=31000 # the port base that the page uses; replaced by PORT_BASE
FLEET_DIR=$(mktemp -d)
export FLEET_DIR
. scripts/fleet.sh

failures=0
commands=0

finish() {
	for name in platform gateway-1 gateway-2; do # a page may have left one paused by SIGSTOP
		[ -e "$FLEET_DIR/$name.pid" ] && kill -CONT "$(pid_of "$name")" 2>/dev/null || true
	done
	stop_fleet
	[ "$failures" = 0 ] && rm -rf "$FLEET_DIR" || echo "logs are in $FLEET_DIR"
}

# matches EXPECTED OUTPUT succeeds if the whole OUTPUT matches EXPECTED, where "..."
# matches any text.
matches() {
	local rest=$2 pieces=$1 piece first=1
	while :; do
		piece=${pieces%%...*}
		if [ "$piece" = "$pieces" ]; then # the last piece
			if [ $first = 1 ]; then [ "$rest" = "$piece" ]; else [[ $rest == *"$piece" ]]; fi
			return
		fi
		if [ $first = 1 ]; then [[ $rest == "$piece"* ]] || return 1; fi
		[[ $rest == *"$piece"* ]] || return 1
		rest=${rest#*"$piece"}
		pieces=${pieces#*...}
		first=0
	done
}

# check LINE COMMAND EXPECTED runs one command of the page and reports a wrong exit
# code or output.
check() {
	local line=$1 command=$2 expected=$3 want=0 got=0 output
	commands=$((commands + 1))
	if [[ $command =~ ^(.*[^[:space:]])[[:space:]]+'# exit '([0-9]+)$ ]]; then
		command=${BASH_REMATCH[1]}
		want=${BASH_REMATCH[2]}
	fi
	command=${command//:$((PAGE_PORT_BASE / 1000))/:$((PORT_BASE / 1000))}
	expected=${expected//:$((PAGE_PORT_BASE / 1000))/:$((PORT_BASE / 1000))}
	if [[ $command == export\ * || $command =~ ^[a-z_]+= ]]; then
		eval "$command" || got=$?
		output=
	else
		output=$(timeout "$COMMAND_TIMEOUT" bash -c "$command" 2>&1 </dev/null) || got=$?
	fi
	if [ "$got" != "$want" ] || { [ -n "$expected" ] && ! matches "$expected" "$output"; }; then
		failures=$((failures + 1))
		printf '%s:%s: $ %s\nexit code %s, want %s; output:\n%s\n' "$PAGE" "$line" "$command" "$got" "$want" "$output"
		[ -z "$expected" ] || printf 'want:\n%s\n' "$expected"
	fi
}

run_page() {
	local text number=0 inside=0 line=0 command='' expected=''
	while IFS= read -r text || [ -n "$text" ]; do
		number=$((number + 1))
		if [ "$inside" = 1 ] && [[ $text == '$ '* || $text == '```' ]]; then
			[ -z "$command" ] || check "$line" "$command" "$expected"
			command='' expected=''
		fi
		case $text in
		'```console') inside=1 ;;
		'```') inside=0 ;;
		'$ '*) if [ "$inside" = 1 ]; then command=${text:2} line=$number; fi ;;
		*) if [ "$inside" = 1 ]; then expected+=${expected:+$'\n'}$text; fi ;;
		esac
	done <"$1"
}

check_readme() {
	local target
	for target in $(sed -n 's/^\$ make //p' README.md); do
		commands=$((commands + 1))
		if ! make -n "$target" >/dev/null; then
			failures=$((failures + 1))
			echo "README.md: \"make $target\" has no target"
		fi
	done
}

if curl -s -m 2 -o /dev/null "$(platform_url)/hosts"; then
	echo "port $PORT_BASE is in use by another fleet; set PORT_BASE"
	exit 1
fi
trap finish EXIT
check_readme
start_backends
for i in $(seq "$GATEWAYS"); do write_gateway_settings "$i"; start gateway "gateway-$i"; done
for i in $(seq "$CONTROLLERS"); do write_controller_settings "$i"; start controller "controller-$i"; done
for i in $(seq "$GATEWAYS"); do await_ready "http://127.0.0.1:$(admin_port "$i")/livez"; done
run_page "$PAGE"
echo "$commands commands of the pages were run, $failures failed"
[ "$failures" = 0 ]
