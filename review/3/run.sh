#!/usr/bin/env bash
# Runs the case once; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, else 2.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/vanillaspar-entry ] && [ -x target/review/lateorder ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout 110 target/review/lateorder "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
