"""The errors of the model."""

from herongap.errors import UnusableInputError


class UnsupportedTroubleError(UnusableInputError):
    """Something of a day that the model does not know."""

    advice = "play the day with `herongap rehearse`"
