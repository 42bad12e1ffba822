"""The command `node`: a controller on the platform."""

import click


@click.command()
def node() -> None:
    """Run the platform's controller that the file in PROXY_CONFIG describes, until SIGTERM or SIGINT.

    SIGHUP reloads the file. `python -m herongap.node` does the same and does not import the other commands.
    """
    from herongap.node.run import main

    main()
