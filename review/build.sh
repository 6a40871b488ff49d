#!/bin/bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
