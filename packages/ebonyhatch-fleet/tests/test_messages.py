from __future__ import annotations

import pytest
from ebonyhatch.fleet import messages
from ebonyhatch.node import frames

MESSAGES = (
    messages.ShowCall(job_id="j"),
    messages.CancelAnswer(acting=True, durable=True),
    messages.ConfigurationNotice(version=3, deflated=b"value"),
    messages.NewerConfigurationCall(version=3),
    messages.LoadNotice(term=2, waits_s={"q": 1.5}),
)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_message_passes_between_processes_that_know_the_messages_of_both_packages(message):
    data = frames.encode(kind=frames.Kind.CALL, sender="a", correlation=b"id", message=message)
    assert frames.decode_message(frames.decode(data).unwrap()).unwrap() == message
