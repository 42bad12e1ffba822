#!/bin/sh
# Writes record.txt beside this script: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." && [ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -B review/6/case.py
