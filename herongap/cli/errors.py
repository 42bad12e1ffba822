"""How a command ends that cannot do what it was asked: cause, what can be done, and a status by kind."""

import click

from herongap.errors import HerongapError


def command_failure(fault: Exception, before: str = "") -> click.ClickException:
    """The end of a command: 1 where what was given cannot be used, 69 where something outside is not as it
    has to be, 70 where it is a fault of ours.
    """
    ours = isinstance(fault, HerongapError)
    shown = click.ClickException(f"{before}{fault}" + (f"\n{fault.advice}" if ours else ""))
    shown.exit_code = fault.exit_code if ours else 1
    return shown
