#!/bin/sh
# Writes record.txt beside this script: what was sent, answered and run.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && [ -x .venv/bin/python ] || exit 2
exec .venv/bin/python review/3/case.py
