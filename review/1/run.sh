#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/1/case.py
