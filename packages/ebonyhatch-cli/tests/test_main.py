"""Runs of the command line against real daemons, and the contents of its help texts."""

import json
import os
import re
import subprocess
import sys

from click import testing
from ebonyhatch.cli import exit_codes, main, tokens
from ebonyhatch.node import settings_schema
from ebonyhatch.testing import processes, samples

COMMAND = [sys.executable, "-m", "ebonyhatch.cli.main"]
TIMEOUT_S = 60


def run(entry, *arguments):
    environment = {**os.environ, "EBONYHATCH_TOKEN": processes.TOKEN, "EBONYHATCH_URL": entry}
    return subprocess.run(
        [*COMMAND, *arguments], env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )


def test_records_job_and_load_through_a_daemon(tmp_path):
    deployment = processes.Deployment(
        folder=tmp_path, entry_ids=("entry-a",), worker_ids=("worker-1",)
    )
    path = tmp_path / "records.json"
    path.write_text(json.dumps(samples.RECORDS), encoding="utf-8")
    with processes.running(deployment):
        admin = deployment.admin_url("entry-a", "")
        callers = deployment.caller_url("entry-a", "")
        applied = run(admin, "records", "apply", "--expect", "0", str(path))
        assert (applied.returncode, applied.stdout) == (0, "generation 1 accepted\n")
        processes.wait_for(
            lambda: "yes" in run(admin, "status").stdout, description="a serving cell"
        )
        job = ["job", "submit", "--class", "cutting", "--payload", '{"run_s": 0.2}', "--wait"]
        finished = run(callers, "--output", "json", *job)
        assert (finished.returncode, json.loads(finished.stdout)["state"]) == (0, "finished")
        load = ["load", "--service", "quotes", "--class", "quote=20", "--duration-s", "1"]
        loaded = run(callers, "--output", "json", *load, "--verify-echo")
        counts = json.loads(loaded.stdout)["classes"]["quote"]
        assert counts["answered"] > 0
        assert counts["wrong-answer"] == 0
    unreachable = run(admin, "status")
    assert unreachable.returncode == exit_codes.UNAVAILABLE
    assert "remedy" in unreachable.stderr


def test_help_documents_every_exit_code():
    help_text = testing.CliRunner().invoke(main.main, ["--help"]).stdout
    listed = {int(code) for code in re.findall(r"^ +(\d+)  ", help_text, re.MULTILINE)}
    assert listed == {
        code for name, code in vars(exit_codes).items() if name.isupper() and name != "TABLE"
    }


def test_every_command_has_an_example():
    for name in main.main.commands:
        help_text = testing.CliRunner().invoke(main.main, [name, "--help"]).stdout
        assert "Examples:" in help_text, name


def test_variables_of_the_command_line_are_not_daemon_settings():
    for name in ("EBONYHATCH_URL", "EBONYHATCH_TOKEN"):
        assert not settings_schema.is_variable(name)


def test_token_file_takes_precedence_and_must_hold_one_token(tmp_path):
    path = tmp_path / "token"
    for text in ("", "two words"):
        path.write_text(text, encoding="utf-8")
        outcome = testing.CliRunner().invoke(main.main, ["--token-file", str(path), "status"])
        assert outcome.exit_code == exit_codes.REFUSED
        assert "keys new" in outcome.stderr
    path.write_text("from-the-file\n", encoding="utf-8")
    assert tokens.from_file(path) == "from-the-file"
