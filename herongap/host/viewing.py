"""The life of one viewing: what it is waiting for, and which changes are possible."""

from enum import Enum
from typing import NamedTuple

from herongap.errors import Misuse
from herongap.interface import EndReason, ViewingRequest


class InvalidTransition(Misuse):
    """A step of a viewing that its state does not allow."""

    advice = "a fault of ours: keep the record, and tell the maintainers"


class ViewingState(Enum):
    """Where a viewing is; it only ever moves as `MOVES` says."""

    WAITING = "waiting"  # taken, no tune-in out
    PENDING = "out"  # one tune-in out at a streamer
    PLAYING = "playing"  # the streamer plays it, its viewer has been told
    CLOSING = "closing"  # its streamer is being told to stop; seat and load count until it has answered
    ENDED = "over"


MOVES = {
    ViewingState.WAITING: {ViewingState.PENDING, ViewingState.ENDED},
    ViewingState.PENDING: {ViewingState.WAITING, ViewingState.PLAYING, ViewingState.ENDED},
    ViewingState.PLAYING: {ViewingState.CLOSING, ViewingState.ENDED},
    ViewingState.CLOSING: {ViewingState.ENDED},
    ViewingState.ENDED: set(),
}


class Answer(NamedTuple):
    """The one answer to a request for a viewing.

    `verdict` is "plays", "blocked", "aborted" or "gone" (its viewer left before there was one). `come_back`
    is in seconds, 0 for no advice. `cause` is how the last tune-in ended, None where there was none.
    """

    verdict: str
    come_back: float = 0.0
    cause: EndReason | None = None


class HostedViewing:
    """One viewing: the request, its state, its tune-ins, numbered from 0, and the wholes they count for."""

    __slots__ = (
        "request",
        "requested_at",
        "deadline",
        "state",
        "answer",
        "tune_ins",
        "streamer",
        "sent_at",
        "rung",
        "cause",
        "charged_budgets",
    )

    def __init__(self, ask: ViewingRequest, now: float):
        self.request, self.requested_at, self.deadline = ask, now, now + ask.time_left
        self.state, self.answer = ViewingState.WAITING, None
        self.tune_ins, self.streamer, self.sent_at = 0, None, now
        self.rung, self.cause, self.charged_budgets = 0, None, ()

    @classmethod
    def adopted(cls, ask: ViewingRequest, now: float, number: int, streamer, rung: int) -> "HostedViewing":
        """One that plays already, and whose viewer was told so by an earlier process."""
        life = cls(ask, now)
        life.state, life.answer = ViewingState.PLAYING, Answer("plays")
        life.tune_ins, life.streamer, life.rung = number + 1, streamer, rung
        return life

    @property
    def number(self) -> int:
        """The number of the newest tune-in, -1 before the first."""
        return self.tune_ins - 1

    def transition_to(self, state: ViewingState) -> None:
        """Go to another state; a step that the rules forbid is a fault of the caller, never carried out."""
        if state not in MOVES[self.state]:
            raise InvalidTransition(
                f"viewing {self.request.viewing}: {self.state.value} cannot become {state.value}"
            )
        self.state = state

    def record_answer(self, answer: Answer) -> None:
        """Note the one answer; a second would break rule 1 and is refused here, whoever asks for it."""
        if self.answer is not None:
            raise InvalidTransition(
                f"viewing {self.request.viewing} was answered {self.answer.verdict} already"
            )
        self.answer = answer
