"""Runs the controller that PROXY_CONFIG describes: `python -m herongap.node`."""

from herongap.node.run import main

main()
