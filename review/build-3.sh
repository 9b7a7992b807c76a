#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: they are Python modules without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m py_compile lib-3/*.py 1[1-5]/*.py
