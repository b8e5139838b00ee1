#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand3"
GOWORK=off go build -o ../../target/stand3 .
