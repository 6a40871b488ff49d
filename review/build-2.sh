#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10. Run it in the repository root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 ./review/_cases2
