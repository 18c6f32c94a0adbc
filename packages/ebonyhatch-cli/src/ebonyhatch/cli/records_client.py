"""Requests about records; an apply whose response is lost is resolved by repeating it."""

from __future__ import annotations

from ebonyhatch.cli import cli_errors, entry_client, exit_codes, views
from ebonyhatch.ports import timing
from twisted.internet import task

PATH = "/v1/admin/records"

MAX_ATTEMPTS = 5
"""Maximum number of times that one apply is sent."""

RETRY_DELAY_S = 1.0
"""Delay before an apply is repeated, seconds."""


class RecordsClient:
    """Reads and writes the records through one entry."""

    def __init__(self, *, client: entry_client.EntryClient, clock: timing.Clock) -> None:
        self._client = client
        self._clock = clock

    async def get(self) -> views.Records:
        """Returns the records of the newest generation."""
        return entry_client.decode(await self._client.call("GET", PATH), views.Records)

    async def history(self) -> views.History:
        """Returns the most recent generations."""
        response = await self._client.call("GET", f"{PATH}/history")
        return entry_client.decode(response, views.History)

    async def check(self, encoded: bytes) -> views.CheckResult:
        """Validates a set of records and compares it with the set in force."""
        response = await self._client.call("POST", f"{PATH}/check", body=encoded)
        return entry_client.decode(response, views.CheckResult)

    async def apply(self, encoded: bytes, *, expect: int | None) -> views.WriteResult:
        """Puts a set of records in force.

        Applying the same set again changes nothing, so the request is repeated if its response
        is lost.

        Raises:
            cli_errors.CliError: When the set wasn't accepted, or when that can't be determined.
        """
        path = PATH if expect is None else f"{PATH}?expect={expect}"
        unresolved: cli_errors.CliError | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                response = await self._client.call("PUT", path, body=encoded)
                return entry_client.decode(response, views.WriteResult)
            except cli_errors.CliError as error:
                unresolved = _unresolved_error(error, unresolved)
            await task.deferLater(self._clock, RETRY_DELAY_S)  # type: ignore[arg-type]
        assert unresolved is not None
        raise unresolved


def _unresolved_error(
    error: cli_errors.CliError, unresolved: cli_errors.CliError | None
) -> cli_errors.CliError:
    """Returns the error whose outcome is still unknown, or raises an error that is final."""
    if error.exit_code == exit_codes.UNKNOWN:
        return error
    if unresolved is None:
        raise error
    if error.exit_code == exit_codes.CONFLICT:
        raise cli_errors.OvertakenError(detail=error.problem) from error
    return unresolved
