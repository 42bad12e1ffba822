"""Shared budgets of the controllers, coordinated through a store with compare-and-swap. No I/O, no clock.

The store is the only arbiter. The caller sends the commits of these state machines to the store, passes on
its replies and what was read, and checks again just before a counted effect is sent.
"""

from herongap.accord.document import Commit, CommitOutcome, SharedDocument
from herongap.accord.shares import Allocation, Allotment, BudgetKind, BudgetShare, BudgetTerms
from herongap.accord.usage import UsageCounter

__all__ = [
    "Allocation",
    "Allotment",
    "BudgetKind",
    "BudgetShare",
    "BudgetTerms",
    "Commit",
    "CommitOutcome",
    "SharedDocument",
    "UsageCounter",
]
