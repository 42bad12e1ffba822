"""The errors of the simulation model."""

from herongap.errors import UnusableInputError


class UnsupportedTroubleError(UnusableInputError):
    """A day has a trouble that the model cannot simulate."""

    advice = "play the day with `herongap rehearse`"
