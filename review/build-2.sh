#!/bin/bash
# Builds the stand-ins and drivers that the scripts of the second review start. It needs no
# network: they use the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/standin-2 .
