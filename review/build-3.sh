#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build of the deploy file:
# the stand-ins, which are one program, and the project's own programs again.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -ldflags=-linkmode=external -o target/review-third ./review/_third
