#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/3/case.py
