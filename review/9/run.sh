#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savorytrestle ] && [ -x target/review-2/left-early ] || exit 2
timeout --kill-after=5 110 target/review-2/left-early review/9/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
