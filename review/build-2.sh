#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The program itself is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/ ./review/standin-2
