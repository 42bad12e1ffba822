"""Errors of the fakes."""

from herongap.errors import UnusableInputError


class BadBase64(UnusableInputError):  # noqa: N818  # the class name is part of the reply
    """A key or value that is not base64."""

    advice = "nothing; the sender gets an error reply"
