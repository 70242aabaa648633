#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the drill of the store out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dragonflyhatch ] && [ -x target/review-third ] || { echo "run the build of the deploy file and review/build-3.sh first" >&2; exit 2; }
exec target/review-third drill review/11/record.txt
