#!/bin/sh
# Builds the stand-ins of the second review's cases: one program, review/bin/rig2, which needs the standard library only.
set -eu
cd "$(dirname "$0")/rig2"
mkdir -p ../bin
CGO_ENABLED=0 GOPROXY=off GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/rig2 .
