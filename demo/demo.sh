#!/usr/bin/env bash
# Runs comfreyrail with stand-ins for about 20 seconds of load on this machine,
# edits a route, kills a model engine and restarts an instance meanwhile, and
# prints what callers saw.
# All listeners are on loopback. PORT moves them, SECONDS_OF_LOAD sets the time.
set -euo pipefail
cd "$(dirname "$0")/.."

port=${PORT:-17000}
duration=${SECONDS_OF_LOAD:-20}
rate=${RATE:-40}
bin=$PWD/build
dir=$bin/demo
host=127.0.0.1
zones=(a b c)
layers=24

say() { printf '\n== %s\n' "$*"; }

start() { # LOG COMMAND...
	local log=$dir/$1.log
	shift
	"$@" >>"$log" 2>&1 &
	last=$!
}

# Ends every process of this script: first on request, after eight seconds by force.
finish() {
	local code=$? pid
	trap - EXIT INT TERM
	for pid in $(jobs -rp | tac); do
		kill "$pid" 2>/dev/null || true
	done
	for _ in $(seq 80); do
		jobs -r | grep -q . || exit "$code"
		sleep 0.1
	done
	for pid in $(jobs -rp); do
		kill -9 "$pid" 2>/dev/null || true
	done
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

taken() { (exec 3<>"/dev/tcp/$host/$1") 2>/dev/null; }

# Prints the body of GET http://host:PORT/PATH, and fails unless the status is 200.
get() { # PORT PATH
	local status line
	exec 3<>"/dev/tcp/$host/$1" || return 1
	printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$host" >&3
	read -r _ status _ <&3
	while read -r line <&3 && [ "${line%$'\r'}" ]; do :; done
	cat <&3
	exec 3>&-
	[ "$status" = 200 ]
}

wait_for() { # WHAT COMMAND...
	local what=$1
	shift
	for _ in $(seq 100); do
		if "$@" >/dev/null 2>&1; then return; fi
		sleep 0.1
	done
	echo "demo: $what did not come up within 10 seconds; see the logs in $dir" >&2
	exit 1
}

rm -rf "$dir"
mkdir -p "$dir"
for offset in 0 {101..106} 201 202 {301..303} {401..403}; do
	if taken $((port + offset)); then
		echo "demo: port $((port + offset)) is in use; choose others with PORT=$((port + 1000)) make demo" >&2
		exit 1
	fi
done

say "stand-ins: the platform's store, two engines for each of three stages, two plain services"
start platform "$bin/platform" -listen "$host:$port"
engines=""
for n in 1 2 3 4 5 6; do
	first=$(((n - 1) / 2 * 8))
	start "engine$n" "$bin/engine" -name "engine$n" -listen "$host:$((port + 100 + n))" -first $first -last $((first + 8)) -layer-time 200us -prefill-time 2us
	engines+="  { name = \"engine$n\", address = \"$host:$((port + 100 + n))\", zone = \"${zones[$(((n - 1) % 2))]}\" },"$'\n'
	[ "$n" != 3 ] || victim=$last
done
services=""
for n in 1 2; do
	start "plain$n" "$bin/plain" -name "plain$n" -listen "$host:$((port + 200 + n))"
	services+="  { name = \"plain$n\", address = \"$host:$((port + 200 + n))\", zone = \"${zones[$((n - 1))]}\" },"$'\n'
done

tables() { # PRIORITY
	cat <<-EOF
		[[routes]]
		name = "exhibit"
		model = "exhibit"
		pool = "exhibit"

		[[routes]]
		name = "holds"
		prefix = "/holds"
		pool = "booking"
		priority = $1

		[[pools]]
		name = "exhibit"
		kind = "model"
		layers = $layers
		servers = [
		$engines]

		[[pools]]
		name = "booking"
		kind = "plain"
		servers = [
		$services]
	EOF
}

say "three instances in three availability zones"
for n in 1 2 3; do
	cat >"$dir/instance$n.toml" <<-EOF
		name = "instance$n"
		zone = "${zones[$((n - 1))]}"

		[caller]
		listen = "$host:$((port + 300 + n))"

		[admin]
		listen = "$host:$((port + 400 + n))"

		[peer]
		listen = "$host:$((port + 500 + n))"

		[stop]
		lag = "2s"
		idle = "1s"

		[platform]
		address = "$host:$port"
	EOF
	wait_for "the platform's store" taken "$port"
	start "instance$n" "$bin/comfreyrail" run --settings "$dir/instance$n.toml"
	[ "$n" != 3 ] || restarted=$last
done
for n in 1 2 3; do wait_for "instance$n" taken $((port + 400 + n)); done

tables 3 >"$dir/tables.toml"
"$bin/comfreyctl" --address "$host:$((port + 401))" apply "$dir/tables.toml"
for n in 1 2 3; do wait_for "instance$n" get $((port + 400 + n)) /ready; done
sleep 1

say "load: $rate requests a second for $duration seconds"
instances=()
for n in 1 2 3; do instances+=(--instance "$host:$((port + 300 + n))/$host:$((port + 400 + n))"); done
"$bin/railload" load --rate "$rate" --time "${duration}s" --timeout 15s --layers "$layers" \
	--service "$host:$((port + 201))" --service "$host:$((port + 202))" "${instances[@]}" >"$dir/report" &
load=$!

sleep $((duration * 3 / 10))
say "edit: route holds gets priority 7, through instance2"
tables 7 >"$dir/tables.toml"
"$bin/comfreyctl" --address "$host:$((port + 402))" apply "$dir/tables.toml"

sleep $((duration * 2 / 10))
say "kill: engine3, which serves the second stage (process $victim)"
{ kill -9 "$victim" && wait "$victim"; } 2>/dev/null || true

sleep $((duration * 1 / 10))
say "restart: instance3 stops as planned and starts again"
kill "$restarted"
stopped=0
wait "$restarted" || stopped=$?
echo "instance3 stopped with exit code $stopped"
start instance3 "$bin/comfreyrail" run --settings "$dir/instance3.toml"

code=0
wait "$load" || code=$?
say "what callers saw"
cat "$dir/report"
say "route holds at each instance"
for n in 1 2 3; do
	priority=$(get $((port + 400 + n)) /tables | tr -d ' \n\t' | sed -n 's/.*"name":"holds"[^}]*"priority":\([0-9]*\).*/\1/p')
	printf 'instance%s: priority %s\n' "$n" "$priority"
done
say "logs are in $dir"
exit "$code"
