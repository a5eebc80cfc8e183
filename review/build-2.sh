#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs: compiling them shows that
# they and the interpreter are there. The gateway is built by the `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
for path in [*pathlib.Path("review/shared-2").glob("*.py"), *pathlib.Path("review").glob("[0-9]*/case.py"),
             pathlib.Path("platform/soak/store.py"), pathlib.Path("platform/soak/wire.py")]:
    compile(path.read_text(), str(path), "exec")
PYTHON
