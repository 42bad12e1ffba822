"""What becomes of each viewing when a controller comes back: what it had kept, beside what streamers hold of
its.

A record is kept before the effect that depends on it (a tune-in, a rung, an end), so what a streamer holds is
always kept or older than the store; and what is kept may never have happened. No viewing is set up by
recovery: at most it is taken up again, or ended.
"""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

Id = int | str


class ViewingStage(Enum):
    """How far a viewing had got when it was kept last."""

    SENT = "sent"  # its tune-in was about to leave; its viewer has no answer
    PLAYING = "playing"  # its viewer has been told
    CLOSING = "closing"  # its end was about to be told to its streamer


class JournaledViewing(NamedTuple):
    """A viewing as the store has it."""

    viewing: Id
    number: int
    streamer: Id
    stage: ViewingStage
    rung: int
    value: float = 1.0


class StreamerSession(NamedTuple):
    """A session that a streamer holds for this controller, by the name that its set-up carried."""

    viewing: Id
    number: int
    rung: int


class RecoveryAction(Enum):
    ADOPT = "adopt"  # it plays on, and is controlled again
    END = "end"  # it is ended at its streamer: nobody has it, or it was ending
    RELEASE = "gone"  # it is over; its seat and load are free
    WAIT = "wait"  # its streamer has not said: its seat counts, nothing is sent there for it


def reconcile(
    kept: Iterable[JournaledViewing], found: Mapping[Id, Iterable[StreamerSession] | None]
) -> list[tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]]:
    """The fate of all that is kept or found: (fate, streamer, viewing), in the order in which it is to be
    done.

    `found` has, for each streamer, what it holds, or None where it does not say. What a streamer holds under
    another number than the store knows is an older tune-in that was called off: a ghost.
    """
    held = {
        (streamer, f.viewing, f.number): f
        for streamer, all_of_them in found.items()
        for f in all_of_them or ()
    }
    fates: list[tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]] = []
    for k in kept:
        session = held.pop((k.streamer, k.viewing, k.number), None)
        if found.get(k.streamer) is None:
            fates.append((RecoveryAction.WAIT, k.streamer, k))
        elif session is None:
            fates.append((RecoveryAction.RELEASE, k.streamer, k))
        elif k.stage is ViewingStage.PLAYING:
            fates.append((RecoveryAction.ADOPT, k.streamer, k))
        else:
            # Sent, and it runs: its viewer's connection ended with the old process, nobody has its answer.
            fates.append((RecoveryAction.END, k.streamer, k))
    fates += [(RecoveryAction.END, streamer, f) for (streamer, _, _), f in held.items()]
    return sorted(fates, key=_order)


def _order(fate: tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]) -> tuple:
    """What plays first, the dearest before others; then what only takes up room."""
    what, streamer, viewing = fate
    value = viewing.value if isinstance(viewing, JournaledViewing) else 0.0
    return (
        [RecoveryAction.ADOPT, RecoveryAction.RELEASE, RecoveryAction.END, RecoveryAction.WAIT].index(what),
        -value,
        str(streamer),
    )
    str(viewing.viewing)
