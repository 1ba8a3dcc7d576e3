#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 to 10). They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/standin-2 -buildvcs=false -o ../../target/standin-2 .
