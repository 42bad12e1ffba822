"""`python -m herongap.cli`."""

from herongap.cli import main

main()
