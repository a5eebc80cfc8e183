#!/usr/bin/env bash
# The stand-ins of the cases are Python programs: checks that they compile. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CODE'
import pathlib
for file in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("platform/soak").glob("*.py")]:
    compile(file.read_text(), str(file), "exec")
CODE
