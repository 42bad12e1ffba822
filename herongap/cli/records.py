"""`replay` and `explain`: what a record of a front says."""

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
    """Run the record FILE through the library alone and compare each decision.

    Exit code 0 if all are the same, else 1 with the first that differs, 2 if FILE cannot be read.
    """
    try:
        with open(file, "rb") as lines:
            inputs, decisions, found = run_record(lines)
    except RecordError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(2)
    if found:
        click.echo(f"{file}: line {found.line}, at {found.now:.6f}: decisions differ")
        click.echo(f"  recorded: {found.recorded}")
        click.echo(f"  decided:  {found.decided}")
        sys.exit(1)
    click.echo(f"{file}: {inputs} inputs, {decisions} decisions, all the same")


@click.command()
@click.argument("file", type=FILE)
@click.option("--viewing", required=True, help="The viewing, as the log names it, such as v0-17.")
def explain(file: Path, viewing: str) -> None:
    """Say what happened to one viewing of the record FILE, and what was known when it was placed."""
    try:
        with open(file, "rb") as lines:
            told = list(explain_record(lines, viewing))
    except RecordError as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(2)
    if not told:
        raise click.ClickException(f"{file} knows no viewing {viewing!r}")
    click.echo("\n".join(told))
