#!/bin/sh
# Builds the stand-ins of the cases: byte code, and a check that all that they import is there.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review && .venv/bin/python -c "
import sys
sys.path.insert(0, 'review')
import standins"
