#!/usr/bin/env bash
# Runs case 10. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
timeout --kill-after=2 110 target/review-2/case-10 review/10
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
