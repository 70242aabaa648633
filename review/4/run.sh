#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || exit 2 # review/build.sh has not run
exec target/review-harness -dir review/4 -trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)" stale-config
