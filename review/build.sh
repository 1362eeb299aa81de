#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standin/*.cpp; do
    name=$(basename "$case" .cpp)
    if [ "$name" != standin ]; then
        g++ -std=c++20 -O2 -pthread -o "target/review/$name" "$case" review/standin/standin.cpp &
    fi
done
for job in $(jobs -p); do
    wait "$job"
done
