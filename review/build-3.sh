#!/bin/sh
# Builds the program of the scripts of the third review, with all stand-ins that they start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/harness-3
