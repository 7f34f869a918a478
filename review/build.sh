#!/bin/sh
# Builds the stand-ins of the scripts, beside the programs that the deploy file builds.
cd "$(dirname "$0")/standin" || exit 2
exec go build -buildvcs=false -o ../../target/standin .
