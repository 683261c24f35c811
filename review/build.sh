#!/bin/bash
# Build the stand-ins that the cases start: the project's own, which are Python, and the harness.
# They need nothing but what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src python3 -c 'import greengagewood.platform.standin.__main__'
python3 -m compileall -q review/harness.py review/[1-5] src/greengagewood
