#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/harness ./review/harness-3
