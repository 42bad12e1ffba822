"""What controllers settle among themselves, through a store with compare-and-swap. No I/O, no clock.

The store is the only thing that votes. Whoever uses these machines carries their commits to it, tells them
what was answered and what was read, and asks again just before an effect leaves.
"""

from herongap.accord.document import Commit, CommitOutcome, SharedDocument
from herongap.accord.shares import Allocation, Allotment, BudgetKind, BudgetShare, BudgetTerms
from herongap.accord.usage import UsageCounter

__all__ = [
    "Commit",
    "Allocation",
    "BudgetKind",
    "SharedDocument",
    "CommitOutcome",
    "Allotment",
    "BudgetShare",
    "UsageCounter",
    "BudgetTerms",
]
