#!/bin/sh
# Plays case 2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs target/mustardtide (the build of the deploy file) and
# target/review-scene (review/build.sh).
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mustardtide ] || [ ! -x target/review-scene ]; then
	echo "build target/mustardtide and run review/build.sh first" >&2
	exit 2
fi
exec target/review-scene reused-address target/mustardtide review/2/record.txt
