#!/bin/sh
# The stand-ins are plain Python without further libraries: only check that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/standins.py review/*/case.py
