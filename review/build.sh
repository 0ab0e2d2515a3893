#!/usr/bin/env bash
# Builds the stand-ins of the scripts, and the programs of the deploy file if there are none.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/node ] || go build -ldflags=-linkmode=external -o target/ ./platform/cmd/...
go build -o target/review/harness ./review/_harness
