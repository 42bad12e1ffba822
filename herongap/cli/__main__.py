"""Entry point of `python -m herongap.cli`."""

from herongap.cli import main

main()
