#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start: ggw-entry and the project's own stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
PYTHONPATH=target/deps:src python3 -c "
import greengagewood.platform.program
import greengagewood.platform.standin.__main__
"
