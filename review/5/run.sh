#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the restarts.
cd "$(dirname "$0")" || exit 2
program=../../target/review/crash-restart
[ -x "$program" ] && [ -x ../../target/savorytrestle ] || exit 2
exec timeout -k 5 110 "$program" ../../target/savorytrestle record.txt
