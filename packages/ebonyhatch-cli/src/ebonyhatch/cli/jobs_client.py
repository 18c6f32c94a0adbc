"""Calls about jobs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.cli import cli_errors, entry_client, exit_codes, job_states, options, views
from ebonyhatch.ports import timing
from twisted.internet import task

PATH = "/v1/jobs"

SUBMIT_TRIES = 4
"""Most sends of one submission; its id makes a repeat harmless."""

FIRST_POLL_S = 0.25
LAST_POLL_S = 5.0
POLL_FACTOR = 1.5


class JobsClient:
    """Submits and follows jobs through one entry."""

    def __init__(self, *, client: entry_client.EntryClient, clock: timing.Clock) -> None:
        self._client = client
        self._clock = clock

    async def submit(self, body: dict[str, Any]) -> views.Job:
        """Submit a job that carries its own id; a lost answer is settled by sending it again."""
        encoded = msgspec.json.encode(body)
        for tries_left in reversed(range(SUBMIT_TRIES)):
            try:
                return _job(await self._client.call("POST", PATH, body=encoded))
            except cli_errors.CliError as error:
                if error.exit_code != exit_codes.UNKNOWN or not tries_left:
                    raise
            await self._sleep(FIRST_POLL_S)
        raise AssertionError("every round answers or raises")

    async def show(self, job_id: str) -> views.Job:
        """Read a job."""
        return _job(await self._client.call("GET", f"{PATH}/{options.quoted(job_id)}"))

    async def cancel(self, job_id: str) -> views.Job:
        """Cancel a job."""
        return _job(await self._client.call("DELETE", f"{PATH}/{options.quoted(job_id)}"))

    async def wait(
        self, job_id: str, *, timeout_s: float, on_view: Callable[[views.Job], None]
    ) -> views.Job:
        """Poll a job, ever less often, until it has ended.

        Args:
            job_id: The job.
            timeout_s: Longest wait, seconds.
            on_view: Called with each view of it.

        Raises:
            cli_errors.WaitEndedError: When the time has passed.
        """
        last_at = self._clock.seconds() + timeout_s
        pause_s = FIRST_POLL_S
        state = ""
        while self._clock.seconds() < last_at:
            view = await self._look(job_id)
            if view is not None:
                on_view(view)
                state = view.state
                if state in job_states.ENDED:
                    return view
            await self._sleep(pause_s)
            pause_s = min(LAST_POLL_S, pause_s * POLL_FACTOR)
        raise cli_errors.WaitEndedError(job_id=job_id, state=state, timeout_s=timeout_s)

    async def _look(self, job_id: str) -> views.Job | None:
        try:
            return await self.show(job_id)
        except cli_errors.CliError as error:
            if error.exit_code in (exit_codes.UNKNOWN, exit_codes.UNAVAILABLE):
                return None
            raise

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._clock, seconds)  # type: ignore[arg-type]


def _job(answer: entry_client.Answer) -> views.Job:
    return entry_client.decode(answer, views.Job)
