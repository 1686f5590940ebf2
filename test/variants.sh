#!/usr/bin/env bash
# Writes variants of a deployment, plays days of each and prints a table: worth,
# the shares served and refused, and broken rules. FLEETBENCH names the program
# that plays days. Without seeds the base itself is played.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?name the path of the program that plays days}"
[ $# -ge 4 ] || { echo "usage: test/variants.sh SITEFILE FIRST COUNT DAY..." >&2; exit 2; }
site=$1 first=$2 count=$3
shift 3
# Half of the processors: a day that is short of time is given up.
jobs=${JOBS:-$(( ($(nproc) + 1) / 2 ))}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cp "$(dirname "$site")/wire.json" "$out"
if [ "$count" -eq 0 ]; then
	cp "$site" "$out"
else
	go run ./cmd/mustardtide-variants --base "$site" --into "$out" --first "$first" --count "$count" >"$out/drawn"
fi
"$FLEETBENCH" build >/dev/null
play() {
	"$FLEETBENCH" run "$1" "$2" --jobs 1 --why "${WHY:-a deployment that nobody has seen}" >"${1%.toml}.$2.out" 2>&1 || true
}
export -f play
export FLEETBENCH WHY
for variant in "$out"/*.toml; do
	for day in "$@"; do
		printf '%s\0%s\0' "$variant" "$day"
	done
done | xargs -0 -n 2 -P "$jobs" bash -c 'play "$@"' _
printf 'variant\tday\tworth\tserved\trefused\tfailed\trules\n'
for played in "$out"/*.out; do
	name=$(basename "$played" .out)
	broken=$(grep -m 1 '^rules broken' "$played" || true)
	figures=$(grep -A 1 '^day ' "$played" | awk 'NR == 2 {print $4 "\t" $5 "\t" $6 "\t" $7}')
	if [ -z "$figures" ]; then
		figures=$'-\t-\t-\t-'
		broken="not played: $(tail -n 1 "$played")"
	fi
	printf '%s\t%s\t%s\t%s\n' "${name%.*}" "${name##*.}" "$figures" "$broken"
done | tee "$out/table"
awk -F '\t' '$3 != "-" {sum += $3; n++} END {if (n) printf "mean of %d\t\t%.3f\n", n, sum / n}' "$out/table"
[ ! -f "$out/drawn" ] || cat "$out/drawn"
! grep -q 'rules broken\|not played' "$out/table"
