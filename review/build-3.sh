#!/bin/sh
# Builds the stand-ins of the cases 11 to 14 that are scripts, into target/stand3. Run it in the
# repository, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/stand3 .
