#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/zinnialedge-edge ] && [ -x target/review-2/case-8 ] || exit 2
exec timeout --signal=KILL 118 target/review-2/case-8 review/8/record.txt
