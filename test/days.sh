#!/usr/bin/env bash
# Plays every day of a folder on one of the users' deployments and prints those
# that broke a rule or could not be played. FLEETBENCH names the program that
# plays days.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?name the path of the program that plays days}"
[ $# -eq 2 ] || { echo "usage: test/days.sh SITEFILE FOLDER" >&2; exit 2; }
# Half of the processors: a day that is short of time is given up.
jobs=$(( ($(nproc) + 1) / 2 ))
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$FLEETBENCH" build >/dev/null
play() {
	"$FLEETBENCH" run "$1" "$2" --jobs 1 --why "each kind of disruption alone and with others" >"$3/$(basename "$2" .toml)" 2>&1 || true
}
export -f play
export FLEETBENCH
find "$2" -name '*.toml' -print0 | sort -z | xargs -0 -P "$jobs" -I{} bash -c 'play "$@"' _ "$1" {} "$out"
red=0
for played in "$out"/*; do
	if ! grep -q '^day ' "$played"; then
		echo "$(basename "$played"): not played: $(tail -n 1 "$played")"
		red=1
	elif grep -q '^rules broken' "$played"; then
		echo "$(basename "$played"): $(grep '^rules broken' "$played")"
		red=1
	fi
done
echo "$(find "$out" -type f | wc -l) days played"
exit $red
