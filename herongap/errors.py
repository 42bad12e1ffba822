"""The root of all error types: what was seen, and what an operator can do about it.

Each package has its own types below these. One that stands for something given to us is an `Unusable`; one
that stands for a call that our own code should never have made is a `Misuse`.
"""


class HerongapError(Exception):
    """`cause` is what was seen, `advice` what an operator can do, `code` the command line's exit status."""

    advice = "see the log lines before this one"
    code = 1

    def __init__(self, cause: object = "", advice: str = ""):
        super().__init__(cause)
        self.cause = str(cause)
        if advice:
            self.advice = advice

    @property
    def kind(self) -> str:
        """The type's name, as log lines carry it."""
        return type(self).__name__


class Unusable(HerongapError, ValueError):
    """Something that was given, read or received cannot be used; it is left out, nothing else changes."""

    advice = "correct what is named, or see who sent it"
    code = 2


class Misuse(HerongapError, RuntimeError):
    """A call that this program should not have made."""

    advice = "a fault of ours: keep the log and the record, and tell the maintainers"
    code = 70
