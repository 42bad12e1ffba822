"""The root of all error types: what was seen, and what an operator can do about it.

Each package has its own types below these. One that stands for something given to us is an `Unusable`; one
that stands for a call that our own code should never have made is a `Misuse`.
"""


class HerongapError(Exception):
    """`cause` is what was seen, `advice` what an operator can do, `exit_code` the command line's."""

    advice = "see the log lines before this one"
    exit_code = 69

    def __init__(self, cause: object = "", advice: str = ""):
        super().__init__(cause)
        self.cause = str(cause)
        if advice:
            self.advice = advice


class Unusable(HerongapError, ValueError):
    """Something that was given, read or received cannot be used; it is left out, nothing else changes."""

    advice = "correct what is named, or see who sent it"
    exit_code = 1


class Misuse(HerongapError, RuntimeError):
    """A call that this program should not have made."""

    advice = "a fault of ours: keep the log and the record, and tell the maintainers"
    exit_code = 70
