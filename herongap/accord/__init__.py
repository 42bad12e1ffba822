"""What controllers settle among themselves, through a store with compare-and-swap. No I/O, no clock.

The store is the only thing that votes. Whoever uses these machines carries their commits to it, tells them
what was answered and what was read, and asks again just before an effect leaves.
"""

from herongap.accord.ledger import Commit, Ledger, Outcome
from herongap.accord.shares import Division, Kind, Part, Shares, Terms
from herongap.accord.tally import Tally

__all__ = ["Commit", "Division", "Kind", "Ledger", "Outcome", "Part", "Shares", "Tally", "Terms"]
