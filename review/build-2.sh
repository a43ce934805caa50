#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, target/stand2. Run it after the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o target/stand2 ./review/_stand2
