#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10: plain Python of the standard library, so it only
# checks that they compile. The entries are built by the build command of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
CHECK
