#!/bin/sh
# Builds the stand-ins of the scripts of the third review.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o "$root/target/standin-3" .
