#!/usr/bin/env bash
# Plays the case with the stand-ins of review/stand3, after the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/stand3 leave review/13
