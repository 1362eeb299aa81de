#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the deploy file's program: their stand-ins are Python, so
# that only their syntax is checked, the project's own in tests/soak included.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import ast
from pathlib import Path

names = ["tests/soak/host.py", "tests/soak/store.py", "tests/soak/wire.py", "review/standin-2/fleet.py"]
for path in [Path(name) for name in names] + sorted(Path("review").glob("*/run.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
echo "stand-ins are in order"
