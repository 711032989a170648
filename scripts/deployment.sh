# Functions that start and stop a deployment of separate processes on the loopback
# interface. Sourced by scripts/drill and scripts/throughput. Needs curl and jq.

base=${DEPLOYMENT_PORT:-18000}
run=$(mktemp -d "${TMPDIR:-/tmp}/redwingramp-run.XXXXXX")
lib=redwingramp-bench/target
class_path="$lib/redwingramp-bench-0.1.0-SNAPSHOT.jar:$lib/lib/*"
failed=0
declare -A pid offset

step() { printf '\n== %s\n' "$*"; }

fail() {
	echo "FAILED: $*"
	failed=1
}

now_ms() { date +%s%3N; }

# stop NAME...: ends processes by SIGTERM and waits for them.
stop() {
	local name
	for name in "$@"; do
		[ -z "${pid[$name]:-}" ] || kill -CONT "${pid[$name]}" 2>/dev/null || true
		[ -z "${pid[$name]:-}" ] || kill "${pid[$name]}" 2>/dev/null || true
	done
	for name in "$@"; do
		[ -z "${pid[$name]:-}" ] || wait "${pid[$name]}" 2>/dev/null || true
		unset "pid[$name]"
	done
}

# kill9 NAME: ends a process by SIGKILL.
kill9() {
	kill -9 "${pid[$1]}"
	wait "${pid[$1]}" 2>/dev/null || true
	unset "pid[$1]"
}

running() { printf '%s\n' "${!pid[@]}" | grep "^$1" | sort || true; }

stop_all() {
	# shellcheck disable=SC2046
	stop $(running load) && stop $(running taller) && stop $(running entry) && stop $(running control)
}

# settings NAME DOMAIN ROLE OFFSET: writes a settings file.
settings() {
	offset[$1]=$4
	{
		printf '[instance]\nname = "%s"\nfailure_domain = "%s"\nregion = "guate-central"\nroles = ["%s"]\n' "$1" "$2" "$3"
		printf '[listen]\noperators = "127.0.0.1:%d"\ninternal = "127.0.0.1:%d"\n' $((base + 100 + $4)) $((base + 200 + $4))
		[ "$3" = control ] || printf 'callers = "127.0.0.1:%d"\n' $((base + $4))
		printf '[control]\nreplicas = [\n'
		for i in 1 2 3; do
			printf '  { name = "control-%d", address = "127.0.0.1:%d" },\n' $i $((base + 200 + i))
		done
		printf ']\n'
		[ "$3" = entry ] || printf 'data_folder = "%s"\n' "$run/data-$1"
		printf '[operators]\ntoken_files = { drill = "operator" }\n'
		[ "$3" = control ] || printf '[targets]\ntoken_file = "targets"\n'
		printf '[internal]\nshared_key_file = "shared-key"\n'
	} >"$run/$1.toml"
}

# daemon NAME: starts an instance whose settings were written.
daemon() {
	JAVA_OPTS="${JAVA_OPTS:-}" bin/redwingrampd --settings "$run/$1.toml" >>"$run/$1.log" 2>&1 &
	pid[$1]=$!
}

# target NAME DOMAIN OFFSET [OPTION...]: starts a stand-in target of taller-svc.
target() {
	local name=$1 domain=$2 at=$3
	shift 3
	offset[$name]=$at
	java -Xmx96m -XX:+UseSerialGC -cp "$class_path" org.redwingramp.bench.standin.StandInMain --name "$name" \
		--service taller-svc --domain "$domain" --listen "127.0.0.1:$((base + 300 + at))" \
		--entries "$(callers_of_entries)" --token "$(cat "$run/targets")" --journal "$run/$name.journal" "$@" \
		>>"$run/$name.log" 2>&1 &
	pid[$name]=$!
}

callers_of_entries() { printf '127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d' $((base + 11)) $((base + 12)) $((base + 13)); }

# entries [NUMBER...]: the entries for the load tool, with their readiness probes.
entries() {
	local i list=""
	for i in "${@:-11 12 13}"; do
		for j in $i; do list="$list,127.0.0.1:$((base + j))/127.0.0.1:$((base + 100 + j))"; done
	done
	echo "${list#,}"
}

operator() {
	bin/redwingramp --token-file "$run/operator" --endpoint "127.0.0.1:$((base + 101))" \
		--endpoint "127.0.0.1:$((base + 102))" --endpoint "127.0.0.1:$((base + 103))" "$@"
}

# status: the status as JSON, from the first control replica that responds.
status() {
	local i
	for i in 1 2 3; do
		curl -sf --max-time 2 -H "Authorization: Bearer $(cat "$run/operator")" \
			"http://127.0.0.1:$((base + 100 + i))/v1/status" && return
	done
	return 1
}

query() { status | jq -r "$@"; }

leader() { query .leader; }

# standin NAME PATH: sends a request to a stand-in target.
standin() { curl -sf --max-time 2 "http://127.0.0.1:$((base + 300 + offset[$1]))/.stand-in/$2"; }

ready() { curl -sf --max-time 1 "http://127.0.0.1:$((base + 100 + offset[$1]))/ready"; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}

# serving TARGETS: whether that many targets have a gate and every slice has an owner.
serving() {
	query '[([.targets[]|select(.phase=="ready" and .gate!="")]|length), .services[0].unowned, .services[0].releasing]|join(" ")' |
		grep -qx "$1 0 0"
}

group_whole() { query '[.replicas[]|select(.voter)]|length' | grep -qx 3; }

# deploy: 3 control replicas, 3 entry instances and the records of Fuego Firme.
deploy() {
	local name port
	for port in 1 2 3 11 12 13; do
		if (exec 3<>"/dev/tcp/127.0.0.1/$((base + 100 + port))") 2>/dev/null; then
			fail "port $((base + 100 + port)) is in use; choose others by DEPLOYMENT_PORT"
			exit 1
		fi
	done
	for name in shared-key operator targets; do
		head -c 24 /dev/urandom | base64 >"$run/$name"
	done
	settings control-1 zona-capital control 1
	settings control-2 zona-mixco control 2
	settings control-3 zona-villanueva control 3
	settings entry-1 zona-capital entry 11
	settings entry-2 zona-mixco entry 12
	settings entry-3 zona-villanueva entry 13
	for name in control-1 control-2 control-3 entry-1 entry-2 entry-3; do daemon $name; done
	for name in entry-1 entry-2 entry-3; do
		wait_for 30 ready $name || { fail "$name did not become ready"; exit 1; }
	done
	for name in domain-zona-capital domain-zona-mixco domain-zona-villanueva; do
		operator submit --wait "examples/fuego-firme/$name.toml" >"$run/submit-$name" 2>&1 || fail "$name was not accepted"
	done
	operator submit --wait "${1:-examples/fuego-firme/taller-svc.toml}" >"$run/submit-service" 2>&1 ||
		fail "the service record was not accepted"
}

# load NAME OPTION...: starts a load in the background.
load() {
	local name=$1
	shift
	java -Xmx192m -Xss256k -cp "$class_path" org.redwingramp.bench.load.LoadMain --outcomes "$run/$name.outcomes" "$@" \
		>"$run/$name.json" 2>"$run/$name.err" &
	pid[load-$name]=$!
}

load_end() {
	wait "${pid[load-$1]}" || fail "the load tool failed: $(tail -n 1 "$run/$1.err")"
	unset "pid[load-$1]"
}
