#!/bin/sh
# Builds the stand-ins and drivers of the review's cases into review/bin. Run it after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/harness ./review/harness
