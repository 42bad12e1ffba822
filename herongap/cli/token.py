"""`token`: session tokens and the keys that sign them."""

import json
import sys
import time
from pathlib import Path

import click

from herongap.cli.refused import refused

KEYS = click.option(
    "--keys",
    "folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="The key folder.",
)
ROTATE = click.option("--rotate", default=86400.0, show_default=True, help="Seconds for which a key signs.")
AHEAD = click.option("--ahead", default=300.0, show_default=True, help="Seconds it is published before that.")
LONGEST = click.option(
    "--longest", default=600.0, show_default=True, help="Seconds that a token lasts at most."
)


@click.group()
def token() -> None:
    """Session tokens of the DASH front, and the keys that sign them."""


def _load(folder: Path, rotate: float, ahead: float, longest: float):
    from herongap.daemon.keys import KeyStore

    try:
        keys = KeyStore(folder, rotate, ahead, longest)
        keys.load(time.time())
    except (OSError, ValueError) as fault:
        raise refused(fault) from fault
    return keys


@token.command()
@KEYS
@ROTATE
@AHEAD
@LONGEST
@click.option("--jwks", is_flag=True, help="Only the JWK set that streamers are to know.")
def keys(folder: Path, rotate: float, ahead: float, longest: float, jwks: bool) -> None:
    """Tell the keys of a folder and what each is for; makes one if one is due. Never tells a private half."""
    held, now = _load(folder, rotate, ahead, longest), time.time()
    if jwks:
        click.echo(json.dumps(held.jwks(now)))
        return
    signing = held.rotation.signing_key(now)
    for key in held.rotation.published_keys(now):
        use = (
            "signs"
            if key == signing
            else "published ahead"
            if key.created_at > signing.created_at
            else "checks only"
        )
        click.echo(f"{key.kid}  made {time.strftime('%F %T', time.gmtime(key.created_at))} UTC  {use}")


@token.command("mint")
@KEYS
@ROTATE
@AHEAD
@LONGEST
@click.option("--viewing", required=True)
@click.option("--title", required=True)
@click.option("--streamer", required=True)
@click.option("--package", default="")
@click.option("--member", default="")
@click.option("--rungs", default="0-0", show_default=True, help="FLOOR-TOP")
@click.option("--seconds", default=60.0, show_default=True)
def mint_(folder, rotate, ahead, longest, viewing, title, streamer, package, member, rungs, seconds) -> None:
    """Make a token, for trying a streamer by hand."""
    from herongap.dash import TokenClaims

    floor, _, top = rungs.partition("-")
    if not (floor.isdigit() and top.isdigit() and int(floor) <= int(top)):
        raise click.UsageError("--rungs FLOOR-TOP, such as 0-3")
    if not 0 < seconds <= longest:
        raise click.UsageError(f"--seconds: above 0, at most --longest ({longest:g})")
    now = time.time()
    grant = TokenClaims(viewing, title, package, member, int(floor), int(top), streamer, now, now + seconds)
    click.echo(_load(folder, rotate, ahead, longest).mint(now, grant))


@token.command()
@click.argument("word")
@click.option("--jwks", required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--streamer", required=True)
@click.option("--title", required=True)
def verify(word: str, jwks: Path, streamer: str, title: str) -> None:
    """Check a token as a streamer does; exit code 1 and the reason if it is not taken."""
    from herongap.dash import TokenError, TokenVerifier

    try:
        grant = TokenVerifier(streamer, json.loads(jwks.read_text())).verify(time.time(), word, title)
    except ValueError as fault:
        raise refused(fault, f"{jwks}: ") from fault
    except TokenError as why:
        click.echo(f"refused: {why.kind}" + (f" {why.kid!r}" if why.kid else ""), err=True)
        sys.exit(1)
    click.echo(json.dumps(grant._asdict()))
