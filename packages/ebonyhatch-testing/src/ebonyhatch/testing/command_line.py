"""Runs the command line in memory, against a resource instead of an entry."""

from __future__ import annotations

import collections
from collections.abc import Coroutine, Iterable
from typing import Any

from click import testing
from ebonyhatch.cli import environment, main
from treq import testing as treq_testing
from twisted.internet import defer, task
from twisted.python import failure
from twisted.web import resource

URL = "http://127.0.0.1:7110"
STEP_S = 0.1
MAX_STEPS = 20_000


class LossyHttp:
    """Calls a resource in memory; selected calls take effect and lose their responses.

    Args:
        root: The resource that is called.
        lost: For each call in turn, whether its response is lost.
    """

    def __init__(self, *, root: resource.IResource, lost: Iterable[bool] = ()) -> None:
        self._stub: Any = treq_testing.StubTreq(root)
        self._lost = collections.deque(lost)
        self.calls: list[tuple[str, str]] = []

    async def request(self, method: str, url: str, *, timeout: float, **options: Any) -> Any:
        """Sends a request."""
        self.calls.append((method, url))
        response = await self._stub.request(method, url, **options)
        if self._lost and self._lost.popleft():
            raise ConnectionError("connection lost before the response")
        return response

    def content(self, response: Any) -> Any:
        """Reads the whole body of a response."""
        return self._stub.content(response)

    def flush(self) -> None:
        """Delivers pending data."""
        self._stub.flush()


class CommandLine:
    """Runs commands on a fake clock."""

    def __init__(self, *, http: LossyHttp, clock: task.Clock) -> None:
        self._http = http
        self._clock = clock
        self._ran = False

    def __call__(self, *arguments: str, token: str = "", entry: str = URL) -> testing.Result:
        """Runs one command, which may run only one coroutine, as on the reactor."""
        self._ran = False
        chosen = environment.Environment(http=self._http, clock=self._clock, run=self._run)
        return testing.CliRunner().invoke(
            main.main,
            arguments,
            obj=chosen,
            env={"EBONYHATCH_TOKEN": token, "EBONYHATCH_URL": entry},
        )

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        assert not self._ran
        self._ran = True
        ended: list[Any] = []
        defer.Deferred.fromCoroutine(coroutine).addBoth(ended.append)
        for _ in range(MAX_STEPS):
            if ended:
                break
            self._http.flush()
            self._clock.advance(STEP_S)
        if isinstance(ended[0], failure.Failure):
            ended[0].raiseException()
        return ended[0]
