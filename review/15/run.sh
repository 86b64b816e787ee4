#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/samphiremoor-gateway ] && [ -x target/review-3/standin ] || exit 2
set -m
timeout 110 target/review-3/standin dead-reader review/15 &
group=$!
wait "$group"
code=$?
# What is left of the processes that the case started.
kill -KILL -- "-$group" 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
