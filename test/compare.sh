#!/usr/bin/env bash
# Plays the variants of an experiment on the same days and seeds, and prints what they
# show. What is there already is not played again, so that an experiment that was cut off
# goes on. FLEETBENCH names the program that plays days, JOBS how many at a time.
set -euo pipefail
: "${FLEETBENCH:?name the path of the program that plays days}"
[ $# -eq 2 ] || { echo "usage: test/compare.sh EXPERIMENT FOLDER" >&2; exit 2; }
root=$(cd "$(dirname "$0")/.." && pwd)
experiment=$(realpath "$1")
mkdir -p "$2"
out=$(realpath "$2")
jobs=${JOBS:-$(( ($(nproc) + 1) / 2 ))}
cd "$root"
go build -o "$out/mustardtide-compare" ./cmd/mustardtide-compare
compare="$out/mustardtide-compare"
"$compare" plan "$experiment" >"$out/plan"
WHY=$("$compare" why "$experiment")
cut -f 2-4 "$out/plan" | sort -u | while IFS=$'\t' read -r name commit without; do
	tree="$out/trees/$name"
	[ -d "$tree" ] && continue
	git clone -q "$root" "$tree"
	git -C "$tree" checkout -q "$(git rev-parse "$commit")"
	if [ "$without" != - ]; then
		sed -i "s/mustardtide entry\"/mustardtide entry $(printf -- '--without %s ' ${without//,/ } | sed 's/ $//')\"/" "$tree/deploy/system.toml"
		git -C "$tree" -c user.name=compare -c user.email=compare@localhost commit -qam "without $without"
	fi
	(cd "$tree" && "$FLEETBENCH" build >/dev/null)
done
play() {
	IFS=$'\t' read -r name variant _ _ deployment day seed <<<"$1"
	[ -f "$OUT/$name.out" ] && return
	[ -f "$ROOT/$day" ] && day="$ROOT/$day"
	extra=()
	[ "$seed" = 0 ] || extra=(--seed "$seed")
	cd "$OUT/trees/$variant"
	"$FLEETBENCH" run "$deployment" "$day" "${extra[@]}" --jobs 1 --why "Trial: $WHY ($variant)" >"$OUT/$name.cut" 2>&1 || true
	grep -q '^snapshot' "$OUT/$name.cut" && mv "$OUT/$name.cut" "$OUT/$name.out"
}
export -f play
export FLEETBENCH WHY OUT="$out" ROOT="$root"
tr '\n' '\0' <"$out/plan" | xargs -0 -n 1 -P "$jobs" bash -c 'play "$1" || true' _
# The entries of the journal stay, also those of trials.
for tree in "$out"/trees/*; do
	cp -rn "$tree/journal/." "$root/journal/"
done
"$compare" report "$experiment" "$out"
