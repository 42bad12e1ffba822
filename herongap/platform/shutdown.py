"""Decides, without I/O, what a controller that received SIGTERM still does and when it exits.

The platform's rules: after SIGTERM new connections still come for 0.2 to 0.4 s, and requests on open
connections for another 0.2 s. SIGKILL follows no sooner than the longest time a viewer waits (at least 3 s)
plus 0.7 s. Every accepted request must be answered before the process exits.
"""

LISTEN_SECONDS = 0.75  # the 0.6 s of the platform's rules, and a reserve for a process that runs late
KILL_DELAY_SECONDS, MIN_DEADLINE_SECONDS = 0.7, 3.0
EXIT_MARGIN_SECONDS = 0.25  # the process exits this long before SIGKILL


class GracefulShutdown:
    """One controller's shutdown, begun at `now`; `longest_deadline` is a viewer's longest wait (seconds)."""

    def __init__(self, now: float, longest_deadline: float):
        self.listen_until = now + LISTEN_SECONDS
        self.exit_at = (
            now + max(longest_deadline, MIN_DEADLINE_SECONDS) + KILL_DELAY_SECONDS - EXIT_MARGIN_SECONDS
        )

    def is_listening(self, now: float) -> bool:
        """Whether new connections and set-ups are still accepted; later ones are refused at once."""
        return now < self.listen_until

    def is_complete(self, now: float, unanswered: int, unfinished: int, playing: int) -> bool:
        """Whether the process may exit: its time is up, or no request is unanswered, no viewing plays, and
        for no peer anything is unread, unsent or still to be delivered (`unfinished`).
        """
        if self.is_listening(now):
            return False
        return now >= self.exit_at or not (unanswered or unfinished or playing)
