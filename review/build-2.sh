#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 into review/standin-2/bin/, without a network.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS="-mod=mod -buildvcs=false" GOTOOLCHAIN=local GOPROXY=off go build -o bin/ ./cmd/...
