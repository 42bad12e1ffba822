"""Runs the adapter: batches on standard input, replies on standard output."""

import sys

from herongap.benchlink.adapter import BenchAdapter, MalformedInputError

try:
    BenchAdapter(sys.stdout.buffer).serve(sys.stdin.buffer)
except MalformedInputError as error:
    sys.exit(f"benchlink: {error}")
