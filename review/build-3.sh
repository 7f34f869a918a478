#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/kit3"
go build -o ../../target/kit3 .
