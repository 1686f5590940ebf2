#!/usr/bin/env bash
# Builds the stand-ins of the cases 5 to 8. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/scene-2"
GOFLAGS=-mod=mod GOWORK=off go build -o bin/stage .
