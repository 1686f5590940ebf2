#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback, from examples/NAME,
# sends one streamed request, and stops everything it started.
#
#   test/run-local.sh riga|dakar [targets]
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=${1:-riga}
targets=${2:-2}
case $fleet in
riga) sites=(imanta purvciems kengarags) service=trip model=dossier-70b account=schools-centre plain=consent base=21000 ;;
dakar) sites=(plateau almadies rufisque) service=valuation model=ledger-32b account=marche-sandaga plain=counter base=22000 ;;
*) echo "usage: test/run-local.sh riga|dakar [targets]" >&2; exit 2 ;;
esac

work=$(mktemp -d)
pids=()
stop() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
		wait "${pids[i]}" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop EXIT

start() { # start LOGNAME COMMAND...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
}
until_ok() { # until_ok WHAT COMMAND...
	local what=$1
	shift
	for _ in $(seq 200); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.05
	done
	echo "run-local: $what did not come up" >&2
	tail -n 5 "$work"/*.log >&2
	return 1
}
member() { # member NAME ROLE PORT SITE SERVICE
	curl -fsS -X PUT "$platform/standin/members/$1" \
		-d "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"127.0.0.1:$3\",\"datacentre\":\"$4\",\"service\":\"$5\"}" >/dev/null
}

platform=http://127.0.0.1:$base
start platform bin/mustardtide-standin --listen "127.0.0.1:$base" platform
until_ok platform curl -fsS "$platform/apis/mustardtide.dev/v1/namespaces/default/records"
overlays=()
for site in "${sites[@]}"; do overlays+=(--overlay "examples/$fleet/$site.yaml"); done
bin/mustardtide submit --platform "$platform" --base "examples/$fleet/base.yaml" "${overlays[@]}"

sidecar() { # sidecar NAME PORT SERVICE SITE TARGETPORT
	cat >"$work/$1.yaml" <<-Y
		name: $1
		datacentre: $4
		internal: 127.0.0.1:$2
		platform: $platform
		namespace: default
		target: http://127.0.0.1:$5
		service: $3
	Y
	start "$1" bin/mustardtide sidecar --settings "$work/$1.yaml"
	member "$1" sidecar "$2" "$4" "$3"
}
for ((i = 0; i < targets; i++)); do
	site=${sites[$((i % ${#sites[@]}))]}
	start "engine-$i" bin/mustardtide-standin --listen "127.0.0.1:$((base + 100 + i))" engine
	sidecar "$service-$i" $((base + 200 + i)) "$service" "$site" $((base + 100 + i))
done
for i in 0 1 2; do
	start "$plain-program-$i" bin/mustardtide-standin --listen "127.0.0.1:$((base + 300 + i))" service
	sidecar "$plain-$i" $((base + 400 + i)) "$plain" "${sites[i]}" $((base + 300 + i))
done
cat >"$work/entry-0.yaml" <<Y
name: entry-0
datacentre: ${sites[0]}
public: 127.0.0.1:$((base + 1))
internal: 127.0.0.1:$((base + 2))
platform: $platform
namespace: default
lag: 100ms
Y
start entry-0 bin/mustardtide entry --settings "$work/entry-0.yaml"
member entry-0 entry $((base + 2)) "${sites[0]}" ""
entry=http://127.0.0.1:$((base + 1))
until_ok entry curl -fsS "$entry/readyz"

ask() {
	curl -fsSN "$entry/v1/chat/completions" -H "Authorization: Bearer $account-key" -H 'Content-Type: application/json' \
		-d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"Is the list complete?\"}]}"
}
until_ok "a target" ask
echo "streamed answer of $model:"
ask
echo "plain answer of $plain:"
curl -fsS "$entry/v1/services/$plain/remind" -H "Authorization: Bearer $account-key" -H "Idempotency-Key: run-local-1" -d '{"slip":7}'
if [ "${LOAD:-}" ]; then # LOAD="--rate 100 --for 10s" sends a load as well
	keys=()
	while read -r name; do keys+=(--key "$name-key"); done < <(sed -n '/^services:/q; s/^  - name: //p' "examples/$fleet/base.yaml")
	# shellcheck disable=SC2086 # the load's flags are words
	bin/mustardtide-standin load --entry "$entry" --model "$model" "${keys[@]}" $LOAD
	bin/mustardtide status --platform "$platform"
fi
echo "run-local: $fleet passed"
