#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are Python files that use the standard
# library only, so that nothing is compiled; this checks that each can be read, and that
# the build of the deploy file has been run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
import sys

for path in [pathlib.Path("review/standins.py"), *pathlib.Path("review").glob("*/case.py")]:
    if path.parent.name in ("review", "6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
if not pathlib.Path("target/deps").is_dir():
    sys.exit("target/deps is missing: run the build line of deploy/system.toml first")
CHECK
