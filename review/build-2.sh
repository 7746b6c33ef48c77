#!/bin/bash
# Builds the stand-ins of review/4 to review/8. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin2
