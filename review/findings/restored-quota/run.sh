#!/usr/bin/env bash
# Not a case: see claim.txt. Exits with 1 if more ran than the quota allows, 0 if not, and 2 if it could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../../.." || exit 2
[ -x target/review-3/restored-quota ] && [ -x target/zinnialedge-edge ] || exit 2
timeout --kill-after=3 115 target/review-3/restored-quota "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
