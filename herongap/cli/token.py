"""The command `token`: session tokens and the keys that sign them."""

import json
import sys
import time
from pathlib import Path

import click

from herongap.cli.errors import command_failure

KEYS = click.option(
    "--keys",
    "folder",
    required=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="The key folder.",
)
ROTATE = click.option(
    "--rotate", default=86400.0, show_default=True, help="Seconds for which a key signs tokens."
)
AHEAD = click.option(
    "--ahead", default=300.0, show_default=True, help="Seconds for which a key is published before it signs."
)
LONGEST = click.option(
    "--longest", default=600.0, show_default=True, help="Longest lifetime of a token in seconds."
)


@click.group()
def token() -> None:
    """Create and check session tokens of the DASH service, and show the keys that sign them."""


def _load(folder: Path, rotate: float, ahead: float, longest: float):
    from herongap.daemon.keys import KeyStore

    try:
        keys = KeyStore(folder, rotate, ahead, longest)
        keys.load(time.time())
    except (OSError, ValueError) as error:
        raise command_failure(error) from error
    return keys


@token.command()
@KEYS
@ROTATE
@AHEAD
@LONGEST
@click.option("--jwks", is_flag=True, help="Print only the JWK set for streamers.")
def keys(folder: Path, rotate: float, ahead: float, longest: float, jwks: bool) -> None:
    """Show the public keys of a folder and their use, never private keys; creates a key if one is due."""
    key_store, now = _load(folder, rotate, ahead, longest), time.time()
    if jwks:
        click.echo(json.dumps(key_store.jwks(now)))
        return
    signing = key_store.rotation.signing_key(now)
    for key in key_store.rotation.published_keys(now):
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
    """Create a token to test a streamer manually."""
    from herongap.dash import TokenClaims

    floor, _, top = rungs.partition("-")
    if not (floor.isdigit() and top.isdigit() and int(floor) <= int(top)):
        raise click.UsageError("--rungs FLOOR-TOP, such as 0-3")
    if not 0 < seconds <= longest:
        raise click.UsageError(f"--seconds: above 0, at most --longest ({longest:g})")
    now = time.time()
    claims = TokenClaims(viewing, title, package, member, int(floor), int(top), streamer, now, now + seconds)
    click.echo(_load(folder, rotate, ahead, longest).mint(now, claims))


@token.command()
@click.argument("word")
@click.option("--jwks", required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--streamer", required=True)
@click.option("--title", required=True)
def verify(word: str, jwks: Path, streamer: str, title: str) -> None:
    """Verify the token WORD as a streamer does; exit code 1 and the reason if it is rejected."""
    from herongap.dash import TokenError, TokenVerifier

    try:
        claims = TokenVerifier(streamer, json.loads(jwks.read_text())).verify(time.time(), word, title)
    except ValueError as error:
        raise command_failure(error, f"{jwks}: ") from error
    except TokenError as rejection:
        click.echo(f"rejected: {rejection.kind}" + (f" {rejection.kid!r}" if rejection.kid else ""), err=True)
        sys.exit(1)
    click.echo(json.dumps(claims._asdict()))
