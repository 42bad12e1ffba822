"""The effects of a controller. The daemon, the node, the fleet model and the tests each implement a port."""

from typing import Protocol

from herongap.host.viewing import Answer
from herongap.interface import EndReason, ViewingRequest

Id = int | str


class Port(Protocol):
    """Effects of one controller.

    No method may call the host back before it returns: the result of an effect is a later input of its own.
    """

    def tune_in(self, request: ViewingRequest, number: int, streamer: Id, rung: int, time_out: float) -> None:
        """Ask the streamer to start the viewing on that rung. The host cancels it after `time_out` s.

        `Host.sendable` says just before the request is sent whether it still may be.
        """

    def call_off(self, viewing: Id, number: int, streamer: Id) -> None:
        """Stop waiting for that tune-in; should the streamer start it all the same, stop it there."""

    def set_rung(self, viewing: Id, number: int, streamer: Id, rung: int) -> None:
        """Set the rung of a playing viewing."""

    def tear_down(self, viewing: Id, number: int, streamer: Id, wanted: bool) -> None:
        """Stop a viewing at its streamer, and call `Host.torn_down` once it is done if `wanted`."""

    def answer(self, viewing: Id, answer: Answer) -> None:
        """Give the viewer the one answer to its request."""

    def viewing_ended(self, viewing: Id, reason: EndReason) -> None:
        """Remove the viewer's resource: a viewing that played has ended."""

    def probe(self, streamer: Id) -> None:
        """Request the load of a streamer, and call `Host.probed` with the result."""

    def follow(self) -> None:
        """Follow the streamer list from now on."""

    def send_to_peer(self, peer: int, message: bytes) -> None:
        """Send a short message to another controller, -1 for all."""

    def request_budget(self, budget: str) -> None:
        """Request a larger part of a fleet budget for this controller."""

    def wake(self, at: float) -> None:
        """Call `Host.woke` at that time. An earlier call is allowed if another one follows at that time."""
