"""How a command ends that cannot do what was requested: cause, advice and an exit status by kind of error."""

import click

from herongap.errors import HerongapError


def command_failure(error: Exception, prefix: str = "") -> click.ClickException:
    """The exception that ends a command.

    Its exit status is 1 for unusable input, 69 for an unmet external condition and 70 for an internal error.
    """
    has_advice = isinstance(error, HerongapError)
    failure = click.ClickException(f"{prefix}{error}" + (f"\n{error.advice}" if has_advice else ""))
    failure.exit_code = error.exit_code if has_advice else 1
    return failure
