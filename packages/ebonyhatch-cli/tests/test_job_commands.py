import json

import klein
import pytest
from ebonyhatch.cli import exit_codes, load_plan
from ebonyhatch.testing import command_line
from twisted.internet import task

FINISHED_JOB = {"state": "finished", "attempts": 2, "evictions": 1}


class FakeCallersApi:
    """Fake of the callers' API of an entry."""

    app = klein.Klein()

    def __init__(self):
        self.submitted = []
        self.states = []

    @app.route("/v1/jobs", methods=["POST"])
    def submit(self, request):
        body = json.loads(request.content.read())
        self.submitted.append(body)
        request.setResponseCode(202)
        return json.dumps({"job_id": body["job_id"], "state": "queued"})

    @app.route("/v1/jobs/<job_id>", methods=["GET", "DELETE"])
    def show(self, request, job_id):
        if request.method == b"DELETE":
            return json.dumps({"job_id": job_id, "state": "cancelled"})
        state = self.states.pop(0) if len(self.states) > 1 else self.states[0]
        return json.dumps({"job_id": job_id, **state})

    @app.route("/v1/services/<service>/load", methods=["POST"])
    def serve(self, request, service):
        if request.getHeader("Ebonyhatch-Class") == "refused":
            request.setResponseCode(503)
            return json.dumps({"outcome": "not-run"})
        return request.content.read()


@pytest.fixture
def callers():
    return FakeCallersApi()


def run(callers, *arguments, lost=(), entry=command_line.URL):
    http = command_line.LossyHttp(root=callers.app.resource(), lost=lost)
    return command_line.CommandLine(http=http, clock=task.Clock())(*arguments, entry=entry)


def test_submit_sends_what_was_given(callers):
    outcome = run(
        callers,
        *("--output", "json", "job", "submit", "--class", "cutting", "--job-id", "plan-1"),
        *("--demand", "slots=1", "--demand", "cores=1.5", "--payload", '{"run_s": 2}'),
    )
    assert json.loads(outcome.stdout)["state"] == "queued"
    assert callers.submitted == [
        {
            "class": "cutting",
            "job_id": "plan-1",
            "demand": {"slots": 1, "cores": 1.5},
            "payload": {"run_s": 2},
        }
    ]


def test_lost_submission_is_repeated_under_the_same_id(callers):
    outcome = run(callers, "job", "submit", "--class", "cutting", lost=[True])
    assert outcome.exit_code == 0
    first, second = callers.submitted
    assert first["job_id"] == second["job_id"]


def test_wait_polls_until_the_job_ends(callers):
    callers.states = [{"state": "queued"}, {"state": "running"}, FINISHED_JOB]
    outcome = run(callers, "job", "wait", "plan-1")
    assert outcome.exit_code == 0
    assert "finished, 2 attempts, 1 evictions" in outcome.stdout


def test_wait_reports_failure_and_timeout(callers):
    callers.states = [{"state": "failed", "reason": "no memory"}]
    assert run(callers, "job", "wait", "plan-1").exit_code == exit_codes.DIFFERENT
    callers.states = [{"state": "queued"}]
    outcome = run(callers, "job", "wait", "plan-1", "--timeout-s", "60")
    assert outcome.exit_code == exit_codes.TIMED_OUT
    assert "ebonyhatch explain" in outcome.stderr


def test_show_and_cancel(callers):
    callers.states = [{"state": "running"}]
    assert "running" in run(callers, "job", "show", "plan-1").stdout
    assert "cancelled" in run(callers, "job", "cancel", "plan-1").stdout


@pytest.mark.parametrize(
    "arguments",
    [
        ["--demand", "horses=1"],
        ["--demand", "slots=many"],
        ["--payload", "[]"],
        ["--payload", "{}", "--payload-file", "x"],
    ],
)
def test_bad_options_are_usage_errors(callers, arguments):
    outcome = run(callers, "job", "submit", "--class", "cutting", *arguments)
    assert outcome.exit_code == exit_codes.USAGE
    assert "remedy" in outcome.stderr


def test_load_counts_outcomes_by_class(callers):
    outcome = run(
        callers,
        *("load", "--service", "quotes", "--class", "quote=20", "--class", "refused=5"),
        *("--duration-s", "6", "--crest", "3", "--verify-echo", "--keyed"),
    )
    classes = json.loads(outcome.stdout.splitlines()[-1])["classes"]
    assert classes["quote"]["answered"] > 100
    assert classes["quote"]["latency_s"]["p99"] <= 0.2
    assert classes["refused"]["not-run"] > 0
    assert classes["refused"]["latency_s"] is None


def test_load_is_seeded_and_bounded_and_stays_on_loopback(callers):
    plan = load_plan.Plan(
        rates=(load_plan.ClassRate(work_class="quote", rate_per_s=50),), duration_s=3, crest=2
    )
    arrivals = list(load_plan.arrivals(plan))
    assert arrivals == list(load_plan.arrivals(plan))
    assert sum(1 <= arrival.at_s < 2 for arrival in arrivals) > len(arrivals) * 0.4
    command = ["load", "--service", "quotes", "--class"]
    assert run(callers, *command, "quote=1e6").exit_code == exit_codes.USAGE
    assert run(callers, *command, "quote=1", "--duration-s", "601").exit_code == exit_codes.USAGE
    remote = run(callers, *command, "quote=1", entry="http://192.0.2.1:7100")
    assert "loopback" in remote.stderr
