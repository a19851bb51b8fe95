#!/bin/sh
# Builds the stand-ins of the cases. It needs no network; the program under test is built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/harness"
GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-harness .
