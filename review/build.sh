#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. They use the standard
# library only, so the build needs no network.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
