#!/usr/bin/env bash
# Runs the failure proofs alone and prints one line each; fails where one of
# the twelve is missing or does not pass.
set -uo pipefail
cd "$(dirname "$0")/.."
names=(cache-truth stream-whole restart-serves own-answer not-run-true at-most-once
	leaving-silent graceful-stop settings-hold poison-stops orders-fenced refusal-final)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go test -count=1 -race -cpu 1 -v -timeout 20m -run '^TestProof' ./... >"$log" 2>&1
code=$?
missing=0
for name in "${names[@]}"; do
	lines=$(grep "^proof $name " "$log")
	if [ -z "$lines" ]; then
		echo "proof $name not-run"
		missing=1
	else
		echo "$lines"
	fi
done
if [ $code -ne 0 ]; then
	grep -E '^(--- FAIL|FAIL|panic:)' "$log" | head -20
fi
exit $((code != 0 || missing))
