#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, with the module cache alone.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off GOFLAGS=-mod=readonly go build -o target/standins-2 ./review/_standins-2
