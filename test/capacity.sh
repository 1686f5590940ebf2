#!/usr/bin/env bash
# Measures what control costs an entry and a sidecar, from the outside: memory,
# processor time and bytes, idle and while instances or settings change, at two
# sizes. Prints one tab-separated line a size, role and state.
#
#   test/capacity.sh [seconds per state]
set -euo pipefail
cd "$(dirname "$0")/.."
span=${1:-20}
work=$(mktemp -d)
pids=()
stop() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
		wait "${pids[i]}" 2>/dev/null || true
	done
	pids=()
}
trap 'stop; rm -rf "$work"' EXIT
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	last=$!
}
until_ok() {
	for _ in $(seq 400); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.05
	done
	echo "capacity: $* did not succeed" >&2
	tail -n 5 "$work"/*.log >&2
	return 1
}
accounts() { # accounts N WEIGHT: a base file
	sed -n '1,/^accounts:/p' examples/riga/base.yaml
	awk -v n="$1" -v w="$2" 'BEGIN { for (i = 0; i < n; i++) printf "  - name: account-%05d\n    weight: %d\n    rate: 200000\n    streams: 64\n    hashes: [%064x]\n", i, (i == 7 ? w : 1), i }'
	sed -n '/^services:/,$p' examples/riga/base.yaml
}
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory() { awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }
measure() { # measure SIZE STATE: sleeps and prints both roles
	local before_entry before_sidecar
	before_entry=$(ticks "$entry_pid")
	before_sidecar=$(ticks "$sidecar_pid")
	sleep "$span"
	for role in entry sidecar; do
		local pid_name=${role}_pid before_name=before_${role}
		awk -v size="$1" -v role="$role" -v state="$2" -v mb="$(memory "${!pid_name}")" \
			-v ticks="$(($(ticks "${!pid_name}") - ${!before_name}))" -v hz="$(getconf CLK_TCK)" -v span="$span" \
			'BEGIN { printf "%s\t%s\t%s\t%s\t%.2f\n", size, role, state, mb, 100 * ticks / hz / span }'
	done
}
fleet() { # fleet SIZE MEMBERS ACCOUNTS PORT CHURN STATE
	local size=$1 members=$2 count=$3 port=$4 churn=$5 state=$6 platform=http://127.0.0.1:$4
	start platform bin/mustardtide-standin --listen "127.0.0.1:$port" platform --members "$members" --churn "$churn"
	until_ok curl -fsS "$platform/apis/mustardtide.dev/v1/namespaces/default/records"
	accounts "$count" 1 >"$work/base.yaml"
	bin/mustardtide submit --platform "$platform" --base "$work/base.yaml" >/dev/null
	start engine bin/mustardtide-standin --listen "127.0.0.1:$((port + 1))" engine
	printf 'name: trip-0\ndatacentre: imanta\ninternal: 127.0.0.1:%d\nplatform: %s\nnamespace: default\ntarget: http://127.0.0.1:%d\nservice: trip\n' $((port + 2)) "$platform" $((port + 1)) >"$work/sidecar.yaml"
	printf 'name: entry-0\ndatacentre: imanta\npublic: 127.0.0.1:%d\ninternal: 127.0.0.1:%d\nplatform: %s\nnamespace: default\npeers: [127.0.0.1:%d]\n' $((port + 3)) $((port + 4)) "$platform" $((port + 2)) >"$work/entry.yaml"
	start entry bin/mustardtide entry --settings "$work/entry.yaml"
	entry_pid=$last
	for pair in "entry-0 entry $((port + 4))" "trip-0 sidecar $((port + 2))"; do
		read -r name role at <<<"$pair"
		curl -fsS -X PUT "$platform/standin/members/$name" -d "{\"name\":\"$name\",\"role\":\"$role\",\"address\":\"127.0.0.1:$at\",\"datacentre\":\"imanta\",\"service\":\"$([ "$role" = sidecar ] && echo trip)\"}" >/dev/null
	done
	start sidecar bin/mustardtide sidecar --settings "$work/sidecar.yaml"
	sidecar_pid=$last
	until_ok curl -fsS "http://127.0.0.1:$((port + 3))/readyz"
	sleep 3
	measure "$size" "$state"
	if [ "$state" = idle ]; then
		(
			for i in $(seq 2 200); do
				accounts "$count" "$i" >"$work/next.yaml"
				bin/mustardtide submit --platform "$platform" --base "$work/next.yaml" >/dev/null 2>&1 || exit 0
				sleep 1
			done
		) &
		local submits=$!
		measure "$size" "settings-1/s"
		kill "$submits" 2>/dev/null || true
		wait "$submits" 2>/dev/null || true
	fi
	stop
}
printf 'size\trole\tstate\tMB\tcore %%\n'
fleet today 30 8 23000 0s idle
fleet today 30 8 23010 100ms members-10/s
fleet letter 3120 12000 23020 0s idle
fleet letter 3120 12000 23030 100ms members-10/s
