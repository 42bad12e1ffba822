"""The errors of a rehearsal."""

from herongap.errors import HerongapError


class RehearsalError(HerongapError):
    """A rehearsal that cannot be played."""

    advice = "see the log in its folder, and the day file"
