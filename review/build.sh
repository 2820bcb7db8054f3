#!/usr/bin/env bash
# Builds the stand-in of the cases with scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
