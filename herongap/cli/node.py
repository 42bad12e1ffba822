"""`node`: a controller on the platform."""

import click


@click.command()
def node() -> None:
    """Run the platform's controller that the file in PROXY_CONFIG describes, until SIGTERM or SIGINT.

    SIGHUP reads the file again. `python -m herongap.node` is the same without the other commands' imports.
    """
    from herongap.node.run import main

    main()
