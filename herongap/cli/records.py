"""The commands `replay` and `explain`, which read a record of a controller."""

import sys
from pathlib import Path

import click

from herongap.host import RecordError
from herongap.host import replay as run_record
from herongap.host.replay import explain as explain_record

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@click.argument("file", type=FILE)
def replay(file: Path) -> None:
    """Replay the record FILE through the library and compare each decision.

    Exit code 0 if all decisions are the same, 1 if one differs (the first is shown), 2 if FILE is unreadable.
    """
    try:
        with open(file, "rb") as lines:
            inputs, decisions, difference = run_record(lines)
    except RecordError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    if difference:
        click.echo(f"{file}: line {difference.line}, at {difference.now:.6f}: decisions differ")
        click.echo(f"  recorded: {difference.recorded}")
        click.echo(f"  decided:  {difference.decided}")
        sys.exit(1)
    click.echo(f"{file}: {inputs} inputs, {decisions} decisions, all the same")


@click.command()
@click.argument("file", type=FILE)
@click.option("--viewing", required=True, help="The ID of the viewing in the log, such as v0-17.")
def explain(file: Path, viewing: str) -> None:
    """Show what happened to a viewing in the record FILE and the state on which its placement was based."""
    try:
        with open(file, "rb") as lines:
            explanation = list(explain_record(lines, viewing))
    except RecordError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    if not explanation:
        raise click.ClickException(f"{file} contains no viewing {viewing!r}")
    click.echo("\n".join(explanation))
