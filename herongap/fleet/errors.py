"""The errors of the simulation model."""

from herongap.errors import Unusable


class UnsupportedTroubleError(Unusable):
    """A day has a trouble that the model cannot simulate."""

    advice = "play the day with `herongap rehearse`"
