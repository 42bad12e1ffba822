"""The life of one viewing: what it is waiting for, and which changes are possible."""

from enum import Enum
from typing import NamedTuple

from herongap.errors import Misuse
from herongap.interface import Asked, Ending


class OutOfTurn(Misuse):
    """A step of a viewing that its state does not allow."""

    advice = "a fault of ours: keep the record, and tell the maintainers"


class State(Enum):
    """Where a viewing is; it only ever moves as `MOVES` says."""

    WAITING = "waiting"  # taken, no tune-in out
    OUT = "out"  # one tune-in out at a streamer
    PLAYING = "playing"  # the streamer plays it, its viewer has been told
    CLOSING = "closing"  # its streamer is being told to stop; seat and load count until it has answered
    OVER = "over"


MOVES = {
    State.WAITING: {State.OUT, State.OVER},
    State.OUT: {State.WAITING, State.PLAYING, State.OVER},
    State.PLAYING: {State.CLOSING, State.OVER},
    State.CLOSING: {State.OVER},
    State.OVER: set(),
}


class Answer(NamedTuple):
    """The one answer to a request for a viewing.

    `verdict` is "plays", "blocked", "aborted" or "gone" (its viewer left before there was one). `come_back`
    is in seconds, 0 for no advice. `cause` is how the last tune-in ended, None where there was none.
    """

    verdict: str
    come_back: float = 0.0
    cause: Ending | None = None


class Life:
    """One viewing: the request, its state, its tune-ins, numbered from 0, and the wholes they count for."""

    __slots__ = (
        "ask",
        "asked_at",
        "until",
        "state",
        "answer",
        "tune_ins",
        "streamer",
        "sent_at",
        "rung",
        "cause",
        "charged",
    )

    def __init__(self, ask: Asked, now: float):
        self.ask, self.asked_at, self.until = ask, now, now + ask.left
        self.state, self.answer = State.WAITING, None
        self.tune_ins, self.streamer, self.sent_at = 0, None, now
        self.rung, self.cause, self.charged = 0, None, ()

    @classmethod
    def adopted(cls, ask: Asked, now: float, number: int, streamer, rung: int) -> "Life":
        """One that plays already, and whose viewer was told so by an earlier process."""
        life = cls(ask, now)
        life.state, life.answer = State.PLAYING, Answer("plays")
        life.tune_ins, life.streamer, life.rung = number + 1, streamer, rung
        return life

    @property
    def number(self) -> int:
        """The number of the newest tune-in, -1 before the first."""
        return self.tune_ins - 1

    def move(self, state: State) -> None:
        """Go to another state; a step that the rules forbid is a fault of the caller, never carried out."""
        if state not in MOVES[self.state]:
            raise OutOfTurn(f"viewing {self.ask.viewing}: {self.state.value} cannot become {state.value}")
        self.state = state

    def conclude(self, answer: Answer) -> None:
        """Note the one answer; a second would break rule 1 and is refused here, whoever asks for it."""
        if self.answer is not None:
            raise OutOfTurn(f"viewing {self.ask.viewing} was answered {self.answer.verdict} already")
        self.answer = answer
