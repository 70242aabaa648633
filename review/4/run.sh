#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-harness -dir review/4 -trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)" stale-config
