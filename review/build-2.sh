#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file: they are
# Python modules of this folder and of the project, which use the libraries in target/.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=review:target/deps
python3 -m compileall -q review/common2.py review/[4-8] || exit 1
python3 -c "import common2, cherryrudder.standin.engine"
