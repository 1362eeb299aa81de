#!/usr/bin/env bash
# The stand-ins of review 3 are Python and need no build; this checks that they and the project's own ones compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/kit3/kit3.py review/1[1-4]/case.py tests/soak/store.py tests/soak/wire.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
