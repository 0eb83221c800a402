#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/, without a network.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" GOTOOLCHAIN=local go build -o ../bin/ ./cmd/...
