"""Whether a player that asks for its manifest too soon knows something that its front does not.

A player is served by its streamer, its front only hears of that: cut off from the streamer, or before its
word has come, the front believes that a viewing plays which its player is refused. Such a player asks for its
manifest at once instead of after the update period. Decides without I/O.
"""

EARLY = 2  # requests in a row, each sooner than half the update period after the one before
AGAIN = 0.5  # seconds between two questions to the streamer
CALM = 3.0  # seconds for which nothing is asked after the streamer has said that all is well
SILENT = 2  # questions without an answer after which the player is believed


class EarlyReloadDetector:
    """What is thought of one viewing; a new one for each."""

    def __init__(self):
        self.last = self.next = float("-inf")
        self.early = self.silent = 0

    def manifest_requested(self, now: float, update: float) -> bool:
        """The player asks for its manifest; whether its streamer is to be asked about the viewing."""
        # Tabs and impatient players ask early too: only the streamer's word, or its silence, means anything.
        self.early = self.early + 1 if now - self.last < update / 2 else 0
        self.last = now
        if self.early < EARLY or now < self.next:
            return False
        self.next = now + AGAIN
        return True

    def streamer_answered(self, now: float, there: bool | None) -> bool:
        """What the streamer said, None for nothing; whether the viewing is to be given up."""
        if there is None:
            self.silent += 1
            return self.silent >= SILENT
        self.silent = 0
        if there:
            self.next = now + CALM
        return not there
