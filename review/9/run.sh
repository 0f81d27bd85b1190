#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the case runs without its disruption, and must hold.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/case-9 review/9
