"""`serve`, `check` and `demo`: running a front."""

import json
import tempfile
from pathlib import Path

import click

from herongap import observe
from herongap.cli.refused import refused
from herongap.daemon.run import Daemon, run_until_signal
from herongap.ini import Faults, Site, read_catalogue, read_list, read_site

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def load(file: Path) -> Site:
    """The site of a file, or the program's end with all that is wrong with it."""
    try:
        return read_site(file)
    except Faults as faults:
        raise refused(faults) from faults


@click.command()
@click.argument("file", type=FILE)
def serve(file: Path) -> None:
    """Run the front that FILE (INI) describes, until SIGTERM or SIGINT.

    The first signal takes no new viewings, answers all that were taken and ends; a second one ends at once.
    """
    site = load(file)
    observe.set_up(site.front.log_level, site.front.log_format, site.front.log_to)
    try:
        daemon = Daemon(site)
        daemon.start()
    except (OSError, ValueError) as fault:
        raise refused(fault, "cannot start: ") from fault
    run_until_signal(daemon)


@click.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check FILE, its list of streamers and its catalogue; every error is told, exit code 1 if there is
    one.
    """
    site = load(file)
    faults = []
    files = [(site.catalogue.file, read_catalogue)]
    if site.streamers.list:
        files.insert(0, (site.streamers.list, lambda data: read_list(data, 0.0)))
    for path, read in files:
        try:
            read(Path(path).read_bytes())
        except (OSError, ValueError) as fault:
            faults.append(f"{path}: {fault}")
    if faults:
        raise click.ClickException("\n".join(faults))
    click.echo(f"{file}: fine, {len(site.charter.packages)} packages, {len(site.charter.ladder)} rungs")


DEMO = """
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
@click.option("--port", default=0, show_default="any free one", help="Port of the front on 127.0.0.1.")
@click.option("--streamers", default=6, show_default=True, help="How many stand-in streamers to run.")
@click.option("--log-level", default="warning", type=click.Choice(["debug", "info", "warning", "error"]))
def demo(port: int, streamers: int, log_level: str) -> None:
    """Run a front with stand-in streamers in one process, on loopback, until SIGTERM or SIGINT.

    The first line of output tells where it listens. Titles "1" to "20" are served at /whep/TITLE,
    /whip/TITLE and /dash/TITLE, without credentials. No media flows: WHEP and WHIP are signalling alone, DASH
    segments are a thousandth of the bytes that they would be, and all zero.
    """
    from herongap.standins import Farm, MachineProfile, Streamer
    from herongap.standins.farm import Log

    observe.set_up(log_level, "console", "-")
    with tempfile.TemporaryDirectory(prefix="herongap-demo-") as folder:
        near = Path(folder)
        kind = MachineProfile((150.0, 400.0, 900.0, 1800.0), (0.3, 0.55, 0.8, 1.0), 20000.0, 70000.0, 200)
        farm = Farm(kind, Log(lambda line: None), seed=1)
        all_of_them = [Streamer(farm, f"s{i}", "a", f"rack{i % 2}") for i in range(streamers)]
        lines = [
            {"id": st.name, "url": "http://{}:{}".format(*st.address), "zone": "a", "rack": f"rack{i % 2}"}
            for i, st in enumerate(all_of_them)
        ]
        (near / "streamers.json").write_text(json.dumps({"streamers": lines}))
        names = [st.name for st in all_of_them]
        titles = {
            str(n): [names[(n + i) % len(names)] for i in range(min(4, len(names)))] for n in range(1, 21)
        }
        (near / "catalogue.json").write_text(json.dumps({"titles": titles}))
        (near / "front.ini").write_text(DEMO.format(port=port, level=log_level))
        try:
            daemon = Daemon(load(near / "front.ini"))
            daemon.start()
        except OSError as fault:
            raise refused(fault, "cannot start: ") from fault
        for st in all_of_them:
            st.segments.fronts = [daemon.address]
        run_until_signal(daemon)
        farm.close()
