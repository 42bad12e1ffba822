"""Recovery of viewings after a restart: reconciles the journal with the sessions that streamers hold.

A journal entry is written before the effect that depends on it (starting a tune-in, setting a rung, ending a
viewing). So each session that a streamer holds is in the journal or is older than the journal, and a
journaled effect may never have happened. Recovery sets up no viewing: it adopts or ends what exists.
"""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

Id = int | str


class ViewingStage(Enum):
    """How far a viewing had got when it was last journaled."""

    SENT = "sent"  # its tune-in was about to be sent; the viewer has no answer
    PLAYING = "playing"  # the viewer has its answer
    CLOSING = "closing"  # the request that ends it was about to be sent to its streamer


class JournaledViewing(NamedTuple):
    """A viewing as stored in the journal.

    `number` is the number of its tune-in; `value` is its worth, by which viewings are ordered.
    """

    viewing: Id
    number: int
    streamer: Id
    stage: ViewingStage
    rung: int
    value: float = 1.0


class StreamerSession(NamedTuple):
    """A session that a streamer holds for this controller, identified as in its set-up request."""

    viewing: Id
    number: int
    rung: int


class RecoveryAction(Enum):
    """What to do with a journaled viewing or a session."""

    ADOPT = "adopt"  # it continues to play and is controlled again
    END = "end"  # end it at its streamer: it has no viewer, or it was closing
    RELEASE = "gone"  # it has ended: free its seat and its load
    WAIT = "wait"  # its streamer has not answered: the seat stays occupied and nothing is sent for it


def reconcile(
    journaled: Iterable[JournaledViewing], found: Mapping[Id, Iterable[StreamerSession] | None]
) -> list[tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]]:
    """The action for each journaled viewing and session: (action, streamer, viewing), in execution order.

    `found` maps each streamer to the sessions that it holds, or to None if it did not answer. A session under
    another number than the journal has is an older, cancelled tune-in and is ended.
    """
    held = {
        (streamer, session.viewing, session.number): session
        for streamer, sessions in found.items()
        for session in sessions or ()
    }
    actions: list[tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]] = []
    for entry in journaled:
        session = held.pop((entry.streamer, entry.viewing, entry.number), None)
        if found.get(entry.streamer) is None:
            actions.append((RecoveryAction.WAIT, entry.streamer, entry))
        elif session is None:
            actions.append((RecoveryAction.RELEASE, entry.streamer, entry))
        elif entry.stage is ViewingStage.PLAYING:
            actions.append((RecoveryAction.ADOPT, entry.streamer, entry))
        else:
            # Sent and running: the viewer's connection ended with the old process, so nobody has its answer.
            actions.append((RecoveryAction.END, entry.streamer, entry))
    actions += [(RecoveryAction.END, streamer, session) for (streamer, _, _), session in held.items()]
    return sorted(actions, key=_execution_order)


def _execution_order(action: tuple[RecoveryAction, Id, JournaledViewing | StreamerSession]) -> tuple:
    """Sort key: playing viewings first, then what only occupies capacity; within each, by falling value."""
    kind, streamer, viewing = action
    value = viewing.value if isinstance(viewing, JournaledViewing) else 0.0
    return (
        [RecoveryAction.ADOPT, RecoveryAction.RELEASE, RecoveryAction.END, RecoveryAction.WAIT].index(kind),
        -value,
        str(streamer),
    )
    str(viewing.viewing)
