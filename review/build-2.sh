#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network; the program under test is built by the line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness-2"
GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-harness-2 .
