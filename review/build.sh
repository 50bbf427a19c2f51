#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. It needs the Go toolchain only, and no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
