#!/usr/bin/env bash
# Plays the case; see claim.txt. SEED chooses the random numbers, TROUBLE=0
# leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/casebench ] && [ -x target/bin/cowslippind-platform ] || exit 2
timeout 115 target/review-3/casebench spread "${SEED:-1}" "${TROUBLE:-1}" \
  "review/9/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
