#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The build line of deploy/system.toml builds
# the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-buildvcs=false" GOWORK=off go build -o ../../target/review-standin .
