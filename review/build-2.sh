#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the standard library only.
cd "$(dirname "$0")/standin-2" || exit 1
mkdir -p ../../target/review-2 || exit 1
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-2/standin-2 .
