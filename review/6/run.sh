#!/bin/sh
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# It writes what was sent, answered and run to record.txt beside it. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/knapd ] || [ ! -x bin/review-2 ]; then
	echo "NOT RUN: build first"
	exit 2
fi
exec bin/review-2 refused-after-stall review/6/record.txt
