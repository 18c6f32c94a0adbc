"""Calls about records; an apply whose answer is lost is settled by repeating it."""

from __future__ import annotations

from ebonyhatch.cli import cli_errors, entry_client, exit_codes, views
from ebonyhatch.ports import timing
from twisted.internet import task

PATH = "/v1/admin/records"

TRIES = 5
"""Most sends of one apply."""

PAUSE_S = 1.0
"""Pause before a repeat."""


class RecordsClient:
    """Reads and writes the records through one entry."""

    def __init__(self, *, client: entry_client.EntryClient, clock: timing.Clock) -> None:
        self._client = client
        self._clock = clock

    async def get(self) -> views.Records:
        """Read the records of the newest generation."""
        return entry_client.decode(await self._client.call("GET", PATH), views.Records)

    async def history(self) -> views.History:
        """Read the last generations."""
        answer = await self._client.call("GET", f"{PATH}/history")
        return entry_client.decode(answer, views.History)

    async def check(self, encoded: bytes) -> views.Checked:
        """Validate a set and compare it with what is in force."""
        answer = await self._client.call("POST", f"{PATH}/check", body=encoded)
        return entry_client.decode(answer, views.Checked)

    async def apply(self, encoded: bytes, *, expect: int | None) -> views.Written:
        """Put a set in force; sending it again changes nothing, so a lost answer is repeated.

        Raises:
            cli_errors.CliError: When it wasn't accepted, or that can't be found out.
        """
        path = PATH if expect is None else f"{PATH}?expect={expect}"
        lost: cli_errors.CliError | None = None
        for _ in range(TRIES):
            try:
                answer = await self._client.call("PUT", path, body=encoded)
                return entry_client.decode(answer, views.Written)
            except cli_errors.CliError as error:
                lost = _lost_before(error, lost)
            await task.deferLater(self._clock, PAUSE_S)  # type: ignore[arg-type]
        assert lost is not None
        raise lost


def _lost_before(
    error: cli_errors.CliError, lost: cli_errors.CliError | None
) -> cli_errors.CliError:
    """Tell which loss is still to be settled, or raise what is final."""
    if error.exit_code == exit_codes.UNKNOWN:
        return error
    if lost is None:
        raise error
    if error.exit_code == exit_codes.CONFLICT:
        raise cli_errors.OvertakenError(detail=error.problem) from error
    return lost
