"""Run the adapter: batches on standard input, replies on standard output."""

import sys

from herongap.benchlink.link import Link, Malformed

try:
    Link(sys.stdout.buffer).serve(sys.stdin.buffer)
except Malformed as fault:
    sys.exit(f"benchlink: {fault}")
