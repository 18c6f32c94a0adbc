"""Instance list over HTTP."""

from __future__ import annotations

from typing import Any

from ebonyhatch.ports import addresses, answers, http_calls, instances
from returns import result

CALL_TIMEOUT_S = 2.0
"""Time limit of a call, seconds."""


class HttpInstances(instances.Instances):
    """Reads the platform's list; see docs/platform-protocol.md."""

    def __init__(
        self, *, reactor: Any, host: str, port: int, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._calls = http_calls.HttpCalls(reactor=reactor)
        self._base_url = addresses.base_url(host=host, port=port)
        self._timeout_s = timeout_s

    @property
    def calls(self) -> http_calls.HttpCalls:
        """The HTTP client."""
        return self._calls

    def start(self) -> None:
        """Prepares for calls."""
        self._calls.start()

    def close(self) -> None:
        """Ends all calls."""
        self._calls.close()

    def list(self) -> instances.InstancesOutcome:
        """Reads the list."""
        call = http_calls.Call(
            method="GET", url=f"{self._base_url}/v1/instances", timeout_s=self._timeout_s
        )
        return self._calls.call(call).addCallback(_interpret)


def _interpret(outcome: result.Result[http_calls.Response, http_calls.CallError]) -> Any:
    if isinstance(outcome, result.Failure):
        return result.Failure(instances.InstancesError(reason=outcome.failure().reason))
    try:
        return result.Success(_read(outcome.unwrap()))
    except answers.BadAnswerError as error:
        return result.Failure(instances.InstancesError(reason=str(error)))


def _read(response: http_calls.Response) -> instances.InstanceList:
    if response.status != 200:
        raise answers.BadAnswerError(f"unexpected status {response.status}")
    listed = answers.decode(response.body, instances.InstanceList)
    answers.check_amounts(listed)
    ids = [instance.instance_id for instance in listed.instances]
    if len(set(ids)) != len(ids):
        raise answers.BadAnswerError("the list contains an instance id twice")
    return listed
