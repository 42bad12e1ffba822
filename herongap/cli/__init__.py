"""The command line: `herongap COMMAND`; each group of commands has a file of its own."""

import click

from herongap.cli import budgets, experiment, lists, node, records, rehearse, serve, token


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="herongap")
def main() -> None:
    """herongap places and shapes video sessions on streaming servers: WHIP and WHEP over HTTP.

    Begin with `herongap demo`, which runs a front with stand-in streamers on this machine.
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
