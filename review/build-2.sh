#!/bin/sh
# Builds the stand-in that the cases 4 to 8 start. It needs no module but the standard library.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
cd standin-2
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin2 .
