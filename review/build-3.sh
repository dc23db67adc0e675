#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 14, and of the findings large-answers and restored-quota, into target/review-3/. The build line of deploy/system.toml must have run.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=gnu++20 -O1 -I. -Wall)
libraries=(target/libzinnialedge_platform.a target/libzinnialedge.a -lboost_json -lthrift -llog4cplus -lxxhash -lcrypto -lpthread)
compile() {
    g++ "${flags[@]}" -c "$1" -o "$out/$2.o"
}
compile Tests/Support/store_stand_in.cpp store_stand_in &
compile Tests/Support/scripted_leaf.cpp scripted_leaf &
compile Tests/Support/child_process.cpp child_process &
compile review/support-3/deployment.cpp deployment &
wait
for folder in review/1[1-5] review/findings/large-answers review/findings/restored-quota; do
    [ -e "$folder/case.cpp" ] || continue
    name="$(basename "$folder")"
    case "$name" in 1?) name="case-$name" ;; esac
    compile "$folder/case.cpp" "$name"
    g++ "$out/$name.o" "$out"/{deployment,store_stand_in,scripted_leaf,child_process}.o "${libraries[@]}" -o "$out/$name"
done
