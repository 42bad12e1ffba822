"""Errors of rehearsals."""

from herongap.errors import HerongapError


class RehearsalError(HerongapError):
    """The rehearsal cannot be run."""

    advice = "see the log in the rehearsal's folder, and the day file"
