"""The commands `serve`, `check` and `demo`, which run a controller or check its files."""

import json
import tempfile
from pathlib import Path

import click

from herongap import observe
from herongap.cli.errors import command_failure
from herongap.daemon.run import Daemon, run_until_signal
from herongap.ini import ConfigFileError, SiteConfig, read_catalogue, read_list, read_site_config

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def load(file: Path) -> SiteConfig:
    """Read a controller's file; ends the command with all errors if it is invalid."""
    try:
        return read_site_config(file)
    except ConfigFileError as error:
        raise command_failure(error) from error


@click.command()
@click.argument("file", type=FILE)
def serve(file: Path) -> None:
    """Run the controller that FILE (INI) describes, until SIGTERM or SIGINT.

    After the first signal it accepts no new viewings, answers the accepted ones and exits; a second signal
    makes it exit at once.
    """
    site = load(file)
    observe.configure_logging(site.front.log_level, site.front.log_format, site.front.log_to)
    try:
        daemon = Daemon(site)
        daemon.start()
    except (OSError, ValueError) as error:
        raise command_failure(error, "cannot start: ") from error
    run_until_signal(daemon)


@click.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check FILE, its streamer list and its catalogue; prints every error, exit code 1 if there is one."""
    site = load(file)
    errors = []
    files = [(site.catalogue.file, read_catalogue)]
    if site.streamers.list:
        files.insert(0, (site.streamers.list, lambda data: read_list(data, 0.0)))
    for path, read in files:
        try:
            read(Path(path).read_bytes())
        except (OSError, ValueError) as error:
            errors.append(f"{path}: {error}")
    if errors:
        raise click.ClickException("\n".join(errors))
    click.echo(
        f"{file}: valid, {len(site.deployment.packages)} packages, {len(site.deployment.ladder)} rungs"
    )


DEMO_CONFIG = """
[front]
listen = 127.0.0.1:{port}
log_level = {level}
[ladder]
rates = 150, 400, 900, 1800
values = 0.3, 0.55, 0.8, 1.0
[package standard]
protocol = whep, dash
default = yes
join_target = 1.5
patience = 5
[package priority]
protocol = whep, dash
join_target = 0.8
patience = 4
value = 2
floor = 1
seats = 20
[package publish]
protocol = whip
join_target = 1.5
patience = 5
repeat = harmful
live = yes
[links]
per_weight = 20000
rack = 70000
[places]
std = 200
[dash]
keys = keys
[streamers]
list = streamers.json
[catalogue]
file = catalogue.json
"""


@click.command()
@click.option("--port", default=0, show_default="any free one", help="Port of the controller on 127.0.0.1.")
@click.option("--streamers", default=6, show_default=True, help="How many simulated streamers to run.")
@click.option("--log-level", default="warning", type=click.Choice(["debug", "info", "warning", "error"]))
def demo(port: int, streamers: int, log_level: str) -> None:
    """Run a controller with simulated streamers in one process, on loopback, until SIGTERM or SIGINT.

    The first line of output contains the address. Titles "1" to "20" are served at /whep/TITLE, /whip/TITLE
    and /dash/TITLE, without credentials. No media is sent: WHEP and WHIP are signalling only, and DASH
    segments contain a thousandth of the usual number of bytes, all of them zero.
    """
    from herongap.standins import MachineProfile, Streamer, StreamerPool
    from herongap.standins.farm import Log

    observe.configure_logging(log_level, "console", "-")
    with tempfile.TemporaryDirectory(prefix="herongap-demo-") as name:
        folder = Path(name)
        kind = MachineProfile((150.0, 400.0, 900.0, 1800.0), (0.3, 0.55, 0.8, 1.0), 20000.0, 70000.0, 200)
        pool = StreamerPool(kind, Log(lambda line: None), seed=1)
        simulated_streamers = [Streamer(pool, f"s{i}", "a", f"rack{i % 2}") for i in range(streamers)]
        entries = [
            {
                "id": streamer.name,
                "url": "http://{}:{}".format(*streamer.address),
                "zone": "a",
                "rack": f"rack{i % 2}",
            }
            for i, streamer in enumerate(simulated_streamers)
        ]
        (folder / "streamers.json").write_text(json.dumps({"streamers": entries}))
        names = [streamer.name for streamer in simulated_streamers]
        titles = {
            str(n): [names[(n + i) % len(names)] for i in range(min(4, len(names)))] for n in range(1, 21)
        }
        (folder / "catalogue.json").write_text(json.dumps({"titles": titles}))
        (folder / "front.ini").write_text(DEMO_CONFIG.format(port=port, level=log_level))
        try:
            daemon = Daemon(load(folder / "front.ini"))
            daemon.start()
        except OSError as error:
            raise command_failure(error, "cannot start: ") from error
        for streamer in simulated_streamers:
            streamer.segments.controllers = [daemon.address]
        run_until_signal(daemon)
        pool.close()
