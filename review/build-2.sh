#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/. Needs the build of the deploy file and its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=gnu++20 -O1 -pthread -I. -c review/support-2/stand_ins.cpp -o target/review-2/stand_ins.o
for source in review/*/case-2.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=gnu++20 -O1 -pthread -I. "$source" target/review-2/stand_ins.o -lboost_json -o "target/review-2/case-$number"
done
