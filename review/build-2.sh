#!/bin/sh
# Builds the stand-ins and the cases of the second review into bin/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -buildvcs=false -o bin/ ./review/cases2
