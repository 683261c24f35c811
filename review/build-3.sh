#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 13 start: the project's stand-ins and those of this review.
# They need the dependencies that the build of deploy/system.toml puts into target/deps, no others.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:review
python3 -m compileall -q src/greengagewood review/entry_lab.py review/workers_lab.py
python3 -c "import greengagewood.platform.standin.__main__, entry_lab, workers_lab"
