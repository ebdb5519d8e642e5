#!/bin/sh
# The stand-ins are plain Python: those of review/ need no library, the project's own
# need those that the build of the deploy file puts into target/deps. Nothing has to be
# built but their bytecode.
cd "$(dirname "$0")/.." || exit 1
python3 -m py_compile review/standins.py review/*/case.py || exit 1
python3 -m compileall -q platform/src libs
