"""The errors of the model."""

from herongap.errors import Unusable


class UnsupportedTroubleError(Unusable):
    """Something of a day that the model does not know."""

    advice = "play the day with `herongap rehearse`"
