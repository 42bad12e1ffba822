"""The base classes of all error types: each error carries a cause and advice for the operator.

Each package derives its own types from these: errors about data from outside from `UnusableInputError`,
errors about a wrong call within the program from `InternalMisuseError`.
"""


class HerongapError(Exception):
    """An error with the `cause`, `advice` for the operator, and the `exit_code` of the command line."""

    advice = "see the log lines before this one"
    exit_code = 69

    def __init__(self, cause: object = "", advice: str = ""):
        super().__init__(cause)
        self.cause = str(cause)
        if advice:
            self.advice = advice


class UnusableInputError(HerongapError, ValueError):
    """Something given, read or received is invalid; it is ignored and nothing else changes."""

    advice = "correct the named input, or find out who sent it"
    exit_code = 1


class InternalMisuseError(HerongapError, RuntimeError):
    """A call that violates the contract of the called function, which is an error of this program."""

    advice = "internal error: keep the log and the record, and contact the maintainers"
    exit_code = 70
