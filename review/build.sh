#!/bin/sh
# Builds the stand-ins of the review's cases: one program, review/bin/rig, which needs the standard library only.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
CGO_ENABLED=0 GOPROXY=off GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/rig .
