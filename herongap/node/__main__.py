"""`python -m herongap.node`: the controller that PROXY_CONFIG describes."""

import os
import sys

from herongap import observe
from herongap.node.run import run
from herongap.platform.launch import Fault

observe.set_up(os.environ.get("HERONGAP_LOG", "info"), "json", "-")
try:
    run(os.environ["PROXY_CONFIG"])
except KeyError as fault:
    sys.exit(f"herongap: {fault} is not set")
except (OSError, Fault) as fault:
    sys.exit(f"herongap: cannot start: {fault}")
