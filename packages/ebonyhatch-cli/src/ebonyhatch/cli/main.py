"""Entry point of `ebonyhatch`, the command line for operators."""

from __future__ import annotations

import pathlib
from typing import Any

import click
from ebonyhatch.cli import (
    bench_commands,
    environment,
    exit_codes,
    job_commands,
    key_commands,
    load_commands,
    options,
    printing,
    record_commands,
    status_commands,
    tokens,
)
from ebonyhatch.core import errors


class ErrorReportingGroup(click.Group):
    """Command group that prints the errors of ebonyhatch together with their remedies."""

    def invoke(self, context: click.Context) -> Any:
        """Runs the command, and exits with the code of the error that it raises."""
        try:
            return super().invoke(context)
        except errors.EbonyhatchError as error:
            env = context.find_object(environment.Environment)
            printing.error(error, as_json=env is not None and env.as_json)
            context.exit(getattr(error, "exit_code", exit_codes.REFUSED))


@click.group(
    epilog=options.examples(
        "export EBONYHATCH_URL=http://127.0.0.1:7110",
        "ebonyhatch --token-file token.txt records apply --expect 7 records.json",
        "ebonyhatch --output json status",
    )
    + "\n\n"
    + exit_codes.TABLE,
    cls=ErrorReportingGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.option(
    "--entry",
    envvar="EBONYHATCH_URL",
    metavar="URL",
    default="",
    help="Address of an entry: its admin address for records, status and explain, its callers' "
    "address for job and load. Environment variable: EBONYHATCH_URL.",
)
@click.option(
    "--token-file",
    type=click.Path(path_type=pathlib.Path),
    help="File that contains the operator's token; takes precedence over the environment variable "
    "EBONYHATCH_TOKEN.",
)
@click.option("--output", type=click.Choice(["text", "json"]), default="text", show_default=True)
@click.version_option(package_name="ebonyhatch-cli")
@click.pass_context
def main(context: click.Context, entry: str, token_file: pathlib.Path | None, output: str) -> None:
    """Configure ebonyhatch by writing records, and inspect its state."""
    env = context.ensure_object(environment.Environment)
    env.entry = entry
    env.as_json = output == "json"
    if token_file is not None:
        env.token = tokens.from_file(token_file)
    else:
        env.token = tokens.from_environment()


main.add_command(record_commands.group)
main.add_command(status_commands.status)
main.add_command(status_commands.explain)
main.add_command(job_commands.group)
main.add_command(key_commands.group)
main.add_command(load_commands.load)
main.add_command(bench_commands.bench)


if __name__ == "__main__":
    main()
