#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/left-early
[ -x target/savorytrestle ] && [ -x "$program" ] || exit 2
# timeout leads a process group of its own, with all processes of the case.
timeout --kill-after=5 110 "$program" review/9/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
