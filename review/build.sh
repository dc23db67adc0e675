#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into review/build/, from the packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags=(-std=gnu++20 -O1 -Wall -Wextra -I. -pthread)
objects=()
for source in review/support/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -o "$out/case-$(basename "$(dirname "$source")")" &
done
wait
