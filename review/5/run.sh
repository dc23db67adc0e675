#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
driver=review/build/case-5
[ -x "$driver" ] && [ -x target/zinnialedge-edge ] || exit 2
folder=$(mktemp -d)
timeout -k 2 110 "$driver" review/5 "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
