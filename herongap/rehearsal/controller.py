"""The process of one controller of a rehearsal: the daemon as `herongap serve` runs it, with a policy by
name.
"""

import sys
from pathlib import Path

from herongap import observe
from herongap.daemon.run import Daemon, until_signal
from herongap.fleet.baselines import POLICIES
from herongap.ini import read_site


def main(file: str, policy: str) -> None:
    site = read_site(Path(file))
    observe.set_up(site.front.log_level, site.front.log_format, site.front.log_to)
    daemon = Daemon(site, POLICIES[policy])
    daemon.start()
    until_signal(daemon)


if __name__ == "__main__":
    main(*sys.argv[1:])
