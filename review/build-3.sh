#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/stand-4 ./review/_stand-4
