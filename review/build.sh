#!/usr/bin/env bash
# Builds the stand-ins of the scripts: the project's own, which are Python modules, and kit.py.
# They need no more packages than the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=src:target/deps python3 -m compileall -q src/greengagewood review/kit.py
PYTHONPATH=src:target/deps python3 -c "import greengagewood.platform.standin.__main__"
