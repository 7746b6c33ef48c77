#!/bin/bash
# Builds the stand-ins of the review's scripts into target/, beside the program that the deploy file builds there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
