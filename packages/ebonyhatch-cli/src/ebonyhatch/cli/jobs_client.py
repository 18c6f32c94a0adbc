"""Requests about jobs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from ebonyhatch.cli import cli_errors, entry_client, exit_codes, job_states, options, views
from ebonyhatch.ports import timing
from twisted.internet import task

PATH = "/v1/jobs"

MAX_SUBMIT_ATTEMPTS = 4
"""Maximum number of times that one submission is sent; its id makes repeating it safe."""

INITIAL_POLL_INTERVAL_S = 0.25
MAX_POLL_INTERVAL_S = 5.0
POLL_BACKOFF_FACTOR = 1.5


class JobsClient:
    """Submits, reads, cancels and waits for jobs through one entry."""

    def __init__(self, *, client: entry_client.EntryClient, clock: timing.Clock) -> None:
        self._client = client
        self._clock = clock

    async def submit(self, body: dict[str, Any]) -> views.Job:
        """Submits a job with a client-chosen id; the request is repeated if its outcome is unknown."""
        encoded = msgspec.json.encode(body)
        for remaining_attempts in reversed(range(MAX_SUBMIT_ATTEMPTS)):
            try:
                return _decode_job(await self._client.call("POST", PATH, body=encoded))
            except cli_errors.CliError as error:
                if error.exit_code != exit_codes.UNKNOWN or not remaining_attempts:
                    raise
            await self._sleep(INITIAL_POLL_INTERVAL_S)
        raise AssertionError("every attempt returns or raises")

    async def show(self, job_id: str) -> views.Job:
        """Returns the current view of a job."""
        return _decode_job(
            await self._client.call("GET", f"{PATH}/{options.quote_path_segment(job_id)}")
        )

    async def cancel(self, job_id: str) -> views.Job:
        """Cancels a job."""
        return _decode_job(
            await self._client.call("DELETE", f"{PATH}/{options.quote_path_segment(job_id)}")
        )

    async def wait(
        self, job_id: str, *, timeout_s: float, on_view: Callable[[views.Job], None]
    ) -> views.Job:
        """Polls a job at increasing intervals until it has ended.

        Args:
            job_id: Id of the job.
            timeout_s: Maximum wait in seconds.
            on_view: Called with each view of the job.

        Raises:
            cli_errors.WaitEndedError: When the job hasn't ended within `timeout_s`.
        """
        deadline = self._clock.seconds() + timeout_s
        interval_s = INITIAL_POLL_INTERVAL_S
        state = ""
        while self._clock.seconds() < deadline:
            view = await self._poll(job_id)
            if view is not None:
                on_view(view)
                state = view.state
                if state in job_states.TERMINAL:
                    return view
            await self._sleep(interval_s)
            interval_s = min(MAX_POLL_INTERVAL_S, interval_s * POLL_BACKOFF_FACTOR)
        raise cli_errors.WaitEndedError(job_id=job_id, state=state, timeout_s=timeout_s)

    async def _poll(self, job_id: str) -> views.Job | None:
        try:
            return await self.show(job_id)
        except cli_errors.CliError as error:
            if error.exit_code in (exit_codes.UNKNOWN, exit_codes.UNAVAILABLE):
                return None
            raise

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._clock, seconds)  # type: ignore[arg-type]


def _decode_job(response: entry_client.Response) -> views.Job:
    return entry_client.decode(response, views.Job)
