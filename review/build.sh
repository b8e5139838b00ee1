#!/bin/sh
# Builds the stand-ins of all scripts; needs only Go and its standard library.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/stand .
