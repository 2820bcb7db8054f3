#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/ ./review/standin-3
