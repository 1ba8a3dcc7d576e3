#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
