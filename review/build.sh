#!/usr/bin/env bash
# Builds the stand-ins of the cases; it needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../bin/standin .
