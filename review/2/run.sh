#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/2/case.py
