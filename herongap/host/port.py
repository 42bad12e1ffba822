"""What a host can do to the world. A daemon, the model and tests each bring one."""

from typing import Protocol

from herongap.host.viewing import Answer
from herongap.interface import EndReason, ViewingRequest

Id = int | str


class Port(Protocol):
    """Effects of one controller.

    No method may call the host back before it returns: what comes of an effect is an input of its own, later.
    """

    def tune_in(self, ask: ViewingRequest, number: int, streamer: Id, rung: int, time_out: float) -> None:
        """Ask the streamer to start the viewing on that rung. The host itself ends it after `time_out`
        seconds.

        Just before the request leaves, `Host.sendable` tells whether it still may.
        """

    def call_off(self, viewing: Id, number: int, streamer: Id) -> None:
        """Stop waiting for that tune-in; should the streamer start it all the same, stop it there."""

    def set_rung(self, viewing: Id, number: int, streamer: Id, rung: int) -> None:
        """Set the rung of a playing viewing."""

    def tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        """Stop a viewing at its streamer; `Host.torn_down` is called when it is done, if that is `wanted`."""

    def answer(self, viewing: Id, answer: Answer) -> None:
        """Give the viewer the one answer to its request."""

    def viewing_ended(self, viewing: Id, how: EndReason) -> None:
        """A viewing that played has ended: its viewer's resource goes."""

    def probe(self, streamer: Id) -> None:
        """Ask a streamer for its load; `Host.probed` is called with what came of it."""

    def follow(self) -> None:
        """Follow the list of streamers from now on."""

    def send_to_peer(self, peer: int, words: bytes) -> None:
        """Send a short message to another controller, -1 for all."""

    def request_budget(self, whole: str) -> None:
        """More of a whole that is divided among the controllers is wanted here."""

    def wake(self, at: float) -> None:
        """Call `Host.woke` at that time, or at any time before and again then."""
