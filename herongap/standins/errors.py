"""Errors of the fakes."""

from herongap.errors import Unusable


class BadBase64(Unusable):
    """A key or value that is not base64."""

    advice = "nothing; the sender gets an error reply"
