#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start, beside the build of the deploy file:
# the requesters and the stand-ins, the project's own among them.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -ldflags=-linkmode=external -o target/review2/second ./review/_second
