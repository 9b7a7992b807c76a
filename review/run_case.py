"""Run `play.py` of the present folder; what keeps it from running exits with 2, not with 1."""

import runpy
import sys
import traceback

try:
    runpy.run_path("play.py", run_name="__main__")
except Exception:
    traceback.print_exc()
    sys.exit(2)
