"""The command line `herongap COMMAND`; each group of commands has a module of its own."""

import click

from herongap.cli import budgets, experiment, lists, node, records, rehearse, serve, token


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="herongap")
def main() -> None:
    """herongap assigns video sessions to streaming servers and controls their quality: WHIP, WHEP and DASH.

    Start with `herongap demo`, which runs a controller with simulated streamers on this machine.
    """


for command in (
    serve.serve,
    serve.check,
    serve.demo,
    node.node,
    rehearse.rehearse,
    experiment.experiment,
    lists.lists,
    budgets.budgets,
    token.token,
    records.replay,
    records.explain,
):
    main.add_command(command)
