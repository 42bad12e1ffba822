"""The states of one viewing, from its request to its end, and the transitions between them."""

from enum import Enum
from typing import NamedTuple

from herongap.errors import InternalMisuseError
from herongap.interface import EndReason, ViewingRequest

# How a tune-in ends that has certainly not started anything.
REASONS_WITHOUT_RUN = (EndReason.FULL, EndReason.UNREACHED, EndReason.NOT_SENT)


class InvalidTransitionError(InternalMisuseError):
    """A change of a viewing that its state does not allow."""

    advice = "internal error: keep the record and report it to the maintainers"


class ViewingState(Enum):
    """The state of a viewing; it changes only as `TRANSITIONS` allows."""

    WAITING = "waiting"  # no tune-in is in flight
    PENDING = "out"  # one tune-in is in flight at a streamer
    PLAYING = "playing"  # the streamer plays it, and its viewer has been notified
    CLOSING = "closing"  # its streamer was asked to stop it; seat and load count until it confirms
    ENDED = "over"


TRANSITIONS = {
    ViewingState.WAITING: {ViewingState.PENDING, ViewingState.ENDED},
    ViewingState.PENDING: {ViewingState.WAITING, ViewingState.PLAYING, ViewingState.ENDED},
    ViewingState.PLAYING: {ViewingState.CLOSING, ViewingState.ENDED},
    ViewingState.CLOSING: {ViewingState.ENDED},
    ViewingState.ENDED: set(),
}


class Answer(NamedTuple):
    """The one answer to a request for a viewing.

    `verdict` is "plays", "blocked", "aborted" or "gone" (the viewer left before there was an answer).
    `come_back` is the advised time until a retry in seconds, 0 for no advice. `cause` is how the last tune-in
    ended, None if there was none.
    """

    verdict: str
    come_back: float = 0.0
    cause: EndReason | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a streamer may have played the viewing, though perhaps its viewer was never told."""
        if self.verdict == "plays":
            return True
        return self.verdict in ("aborted", "gone") and self.cause not in (None, *REASONS_WITHOUT_RUN)


class HostedViewing:
    """One viewing: its request and state, its tune-ins numbered from 0, and the budgets that they charge."""

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

    def __init__(self, request: ViewingRequest, now: float):
        self.request, self.requested_at, self.deadline = request, now, now + request.time_left
        self.state, self.answer = ViewingState.WAITING, None
        self.tune_ins, self.streamer, self.sent_at = 0, None, now
        self.rung, self.cause, self.charged_budgets = 0, None, ()

    @classmethod
    def adopted(
        cls, request: ViewingRequest, now: float, number: int, streamer, rung: int
    ) -> "HostedViewing":
        """A viewing that plays already, and whose viewer was notified by an earlier process."""
        viewing = cls(request, now)
        viewing.state, viewing.answer = ViewingState.PLAYING, Answer("plays")
        viewing.tune_ins, viewing.streamer, viewing.rung = number + 1, streamer, rung
        return viewing

    @property
    def number(self) -> int:
        """The number of the latest tune-in, -1 before the first."""
        return self.tune_ins - 1

    def transition_to(self, state: ViewingState) -> None:
        """Change the state; raises InvalidTransitionError, without any change, if that is not allowed."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError(
                f"viewing {self.request.viewing}: {self.state.value} cannot become {state.value}"
            )
        self.state = state

    def record_answer(self, answer: Answer) -> None:
        """Record the one answer; raises InvalidTransitionError for a second one, which would break rule 1."""
        if self.answer is not None:
            raise InvalidTransitionError(
                f"viewing {self.request.viewing} was answered {self.answer.verdict} already"
            )
        self.answer = answer
