#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same is done without the disruption; the harness passes it on as `Fleet.trouble`.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. python3 -c 'import harness' || exit 2
exec python3 case.py
