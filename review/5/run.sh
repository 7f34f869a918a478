#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin play queued review/5/record.txt
