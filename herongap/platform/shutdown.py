"""What a controller that was told to end still does, and when it goes. Decided without I/O.

The platform's page, after SIGTERM: new connections come for 0.2 to 0.4 s, requests on open ones for 0.2 s
more; SIGKILL no sooner than the longest patience (3 s at least) and 0.7 s. A request that was taken has to
have its answer before the process ends.
"""

LISTENS = 0.75  # seconds for which everything is taken as ever: 0.6, and what a late process needs beside it
KILL, LEAST = 0.7, 3.0  # seconds after the longest patience, which counts as so much at least
SPARE = 0.25  # seconds before the kill by which the process has gone


class GracefulShutdown:
    """One end of one controller, told at `now`; `longest` is the longest patience in seconds."""

    def __init__(self, now: float, longest: float):
        self.listens_until = now + LISTENS
        self.until = now + max(longest, LEAST) + KILL - SPARE

    def listens(self, now: float) -> bool:
        """Whether new connections and set-ups are taken as ever; later ones are refused at once."""
        return now < self.listens_until

    def over(self, now: float, unanswered: int, unsettled: int, playing: int) -> bool:
        """Whether the process may end: nobody waits, what plays has had its time, and of no peer is anything
        unread, unsent or still to be told (`unsettled`).
        """
        if self.listens(now):
            return False
        return now >= self.until or not (unanswered or unsettled or playing)
