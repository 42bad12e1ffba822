"""The errors of the stand-ins."""

from herongap.errors import Unusable


class BadBase64(Unusable):
    """A key or value that is not base64."""

    advice = "nothing; whoever sent it is told"
