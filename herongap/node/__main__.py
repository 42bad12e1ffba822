"""`python -m herongap.node`: the controller that PROXY_CONFIG describes."""

from herongap.node.run import main

main()
