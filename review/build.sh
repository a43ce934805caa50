#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's own program is built by the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o target/review-stand ./review/_stand
