#!/usr/bin/env bash
# Builds the stand-ins of the second review; they need only Go and its standard library.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off go build -buildvcs=false -o target/ .
