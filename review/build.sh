#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
