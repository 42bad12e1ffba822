"""Detects viewings that their streamer no longer serves, from players that reload their manifest too early.

A streamer serves the player, and the front only hears of it. While the front is cut off from the streamer, or
before the streamer's report has arrived, the front may consider a viewing to be playing although the streamer
rejects its player. Such a player reloads its manifest at once instead of after the update period. Decides
without I/O.
"""

EARLY_REQUESTS = 2  # in a row, each sooner than half the update period after the one before
QUERY_INTERVAL_SECONDS = 0.5  # between two queries to the streamer
CONFIRMED_SECONDS = 3.0  # without queries after the streamer has confirmed the viewing
UNANSWERED_QUERIES = 2  # in a row, after which the viewing is given up


class EarlyReloadDetector:
    """The early requests and the streamer's answers for one viewing."""

    def __init__(self):
        self.last_request = self.next_query = float("-inf")
        self.early = self.unanswered = 0

    def manifest_requested(self, now: float, update: float) -> bool:
        """The player requests its manifest; returns whether to ask its streamer about the viewing.

        `update` is the update period in seconds.
        """
        # Several tabs or an impatient user cause early requests too: only the streamer's answer decides, or
        # its absence.
        self.early = self.early + 1 if now - self.last_request < update / 2 else 0
        self.last_request = now
        if self.early < EARLY_REQUESTS or now < self.next_query:
            return False
        self.next_query = now + QUERY_INTERVAL_SECONDS
        return True

    def streamer_answered(self, now: float, present: bool | None) -> bool:
        """Record whether the streamer has the viewing (None: no answer); returns whether to give it up."""
        if present is None:
            self.unanswered += 1
            return self.unanswered >= UNANSWERED_QUERIES
        self.unanswered = 0
        if present:
            self.next_query = now + CONFIRMED_SECONDS
        return not present
