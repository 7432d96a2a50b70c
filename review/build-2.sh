#!/bin/sh
# Builds the stand-ins of the scripted cases into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/stand-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2-stand .
