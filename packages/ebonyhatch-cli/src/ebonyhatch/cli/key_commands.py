"""The command `ebonyhatch keys new`."""

from __future__ import annotations

import hashlib
import secrets

import click
import msgspec
import zmq
from ebonyhatch.cli import options, printing

TOKEN_BYTES = 32


@click.group(epilog=options.examples("ebonyhatch keys new"), name="keys")
def group() -> None:
    """Generate keys for entries and tokens for operators."""


@group.command()
@click.pass_context
def new(context: click.Context) -> None:
    """Print a new CURVE key pair and a new bearer token, once; nothing is stored.

    The public key also goes into keys.peers of every other entry, under this entry's id.
    """
    public, secret = (key.decode() for key in zmq.curve_keypair())
    token = secrets.token_urlsafe(TOKEN_BYTES)
    digest = hashlib.sha256(token.encode()).hexdigest()
    credentials = {
        "token": token,
        "settings": {
            "keys": {"public": public, "secret": secret, "peers": {}},
            "access": {"token_sha256": [digest]},
        },
    }
    if options.environment_of(context).as_json:
        printing.json_line(credentials)
        return
    click.echo("// for the settings of one entry; keep the secret key there only")
    click.echo(msgspec.json.format(msgspec.json.encode(credentials["settings"]), indent=2).decode())
    click.echo("// for the operator, in EBONYHATCH_TOKEN or in a file for --token-file")
    click.echo(token)
