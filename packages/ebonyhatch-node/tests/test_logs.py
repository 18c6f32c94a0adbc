import io
import json

import pytest
from ebonyhatch.node import logs


@pytest.fixture
def written(request):
    # The first log of a process also receives the messages written before it was started.
    logs.start(format="json", stream=io.StringIO()).close()
    stream = io.StringIO()
    log = logs.start(format=request.param, stream=stream)
    logs.write("x.done", request_id="r1", keys={"secret": "s3cr3t!", "n": [1]}, note="two words")
    logs.write_error("x.failed", error=ValueError("bad"), job_id="j1", token="s3cr3t!")
    log.close()
    logs.write("x.after")
    return stream.getvalue().splitlines()


@pytest.mark.parametrize("written", ["json"], indirect=True)
def test_json_lines(written):
    first, second = map(json.loads, written)
    assert (first["message_type"], first["request_id"]) == ("x.done", "r1")
    assert first["keys"] == {"secret": logs.REDACTED, "n": [1]}
    assert (second["error_kind"], second["job_id"]) == ("ValueError", "j1")
    assert "s3cr3t!" not in "".join(written)


@pytest.mark.parametrize("written", ["readable"], indirect=True)
def test_readable_lines(written):
    assert len(written) == 2 and 'note="two words"' in written[0] and "s3cr3t!" not in written[1]


def test_unknown_format():
    with pytest.raises(logs.UnknownFormatError, match="json, readable"):
        logs.start(format="xml", stream=io.StringIO())
