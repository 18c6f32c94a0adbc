import json

import pytest
from ebonyhatch.cli import exit_codes
from ebonyhatch.node import access, admin, admin_view, configuration
from ebonyhatch.ports import memory_store
from ebonyhatch.testing import command_line, samples
from twisted.internet import task

TOKEN = "a-token"


class View(admin_view.AdminView):
    def status(self):
        return admin_view.EntryStatus(
            entry_id="entry-a",
            draining=False,
            store=admin_view.StoreStatus(reachable=False),
            cells=(admin_view.CellStatus(name="c-0", owner="entry-a", epoch=3, serving=True),),
            parked=(admin_view.ParkedJob(job_id="plan-1", cell="c-0", reason="no accelerators"),),
            parked_count=1,
        )

    async def explain(self, *, subject_id):
        if subject_id != "plan/1":
            return None
        return admin_view.Explanation(
            subject_id=subject_id, entry_id="entry-a", cell="c-0", text="it waits"
        )


class Setup:
    def __init__(self, folder):
        self.folder = folder
        self.clock = task.Clock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.store.start()
        self.configuration = configuration.Configuration(
            store=self.store, clock=self.clock, seed=1, on_change=lambda new: None
        )
        self.configuration.start()
        self.clock.pump([0.1] * 30)
        self.app = admin.Admin(
            configuration=self.configuration,
            view=View(),
            access=access.Access(token_sha256=[access.digest(TOKEN)]),
        )

    def run(self, *arguments, lost=(), token=TOKEN):
        http = command_line.LossyHttp(root=self.app.app.resource(), lost=lost)
        return command_line.CommandLine(http=http, clock=self.clock)(*arguments, token=token)

    def file(self, name, records):
        path = self.folder / name
        path.write_text("// written by operators\n" + json.dumps(records), encoding="utf-8")
        return str(path)


@pytest.fixture
def setup(tmp_path):
    return Setup(tmp_path)


def test_apply_twice_and_read_back(setup):
    first = setup.file("first.json", samples.RECORDS[:2])
    second = setup.file("second.json", samples.RECORDS[2:])
    applied = setup.run("records", "apply", "--expect", "0", first, second)
    assert (applied.exit_code, applied.stdout) == (0, "generation 1 accepted\n")
    again = setup.run("records", "apply", "--expect", "0", first, second)
    assert again.stdout == "no change: generation 1 holds these records\n"
    got = setup.folder / "got.json"
    got.write_text(setup.run("records", "get").stdout, encoding="utf-8")
    assert setup.run("records", "diff", str(got)).stdout == "no change\n"


def test_conflict_names_the_newer_generation(setup):
    path = setup.file("all.json", samples.RECORDS)
    setup.run("records", "apply", path)
    other = setup.run("records", "apply", "--expect", "0", setup.file("other.json", []))
    assert other.exit_code == exit_codes.CONFLICT
    assert "generation 1 is in force, not 0" in other.stderr
    assert "--expect 1" in other.stderr


def test_lost_response_of_apply_is_resolved(setup):
    path = setup.file("all.json", samples.RECORDS)
    applied = setup.run("records", "apply", "--expect", "0", path, lost=[True])
    assert (applied.exit_code, setup.configuration.generation) == (0, 1)


def test_lost_response_superseded_by_another_write_is_unknown(setup):
    setup.file("all.json", samples.RECORDS)
    resource = setup.app.app.resource()
    http = command_line.LossyHttp(root=resource, lost=[True])
    superseding_writes = []

    def supersede():
        if http.calls and not superseding_writes:
            superseding_writes.append(setup.configuration.write(records=b"[]", expect=None))

    flush = http.flush
    http.flush = lambda: (flush(), supersede())
    run = command_line.CommandLine(http=http, clock=setup.clock)
    path = str(setup.folder / "all.json")
    applied = run("records", "apply", "--expect", "0", path, token=TOKEN)
    assert applied.exit_code == exit_codes.UNKNOWN
    assert "records history" in applied.stderr


def test_all_faults_are_listed_with_their_file(setup):
    bad = setup.file(
        "bad.json", [{"kind": "tenant", "name": "t", "schema_version": 1, "weight": 0}]
    )
    worse = setup.file("worse.json", [{"kind": "team"}])
    for command in ("check", "apply"):
        outcome = setup.run("records", command, bad, worse)
        assert outcome.exit_code == exit_codes.REFUSED
        assert f"{bad}[0].weight" in outcome.stderr
        assert f"{worse}[0]" in outcome.stderr


@pytest.mark.parametrize("text", ["{", "{}", "[NaN]", "[" * 5_000, "\ud800"])
def test_unreadable_files_are_refused(setup, text):
    path = setup.folder / "bad.json"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    outcome = setup.run("records", "check", str(path))
    assert outcome.exit_code == exit_codes.REFUSED
    assert "remedy" in outcome.stderr


def test_diff_and_history_and_json(setup):
    path = setup.file("all.json", samples.RECORDS)
    diff = setup.run("records", "diff", path)
    assert diff.exit_code == exit_codes.DIFFERENT
    assert "+ tenant/default@1" in diff.stdout
    setup.run("records", "apply", path)
    edited = [
        {**record, "weight": 3.0} if "weight" in record else record for record in samples.RECORDS
    ]
    output = setup.run("records", "diff", setup.file("edited.json", edited[:-1])).stdout
    assert "~ tenant/default@1\n    weight: 1.0 -> 3.0\n" in output
    assert "- tenant/workshop-1@1" in output
    history = setup.run("--output", "json", "records", "history")
    assert json.loads(history.stdout)["generations"][0]["generation"] == 1
    assert "added" in setup.run("records", "history").stdout


def test_status_and_explain(setup):
    output = setup.run("status")
    assert "store: NOT reachable" in output.stdout
    assert "no accelerators" in output.stdout
    assert json.loads(setup.run("--output", "json", "status").stdout)["entry_id"] == "entry-a"
    assert setup.run("explain", "plan/1").stdout == "it waits (entry-a, cell c-0)\n"
    assert setup.run("explain", "none").exit_code == exit_codes.REFUSED


def test_outage_access_and_missing_entry_have_their_exit_codes(setup):
    path = setup.file("all.json", samples.RECORDS)
    assert setup.run("status", token="wrong").exit_code == exit_codes.REFUSED
    setup.store.faults.down = True
    assert setup.run("records", "apply", path).exit_code == exit_codes.UNAVAILABLE
    assert setup.run("--entry", "", "status").exit_code == exit_codes.USAGE


def test_keys_are_printed_once_with_the_hash_of_the_token(setup):
    made = json.loads(setup.run("--output", "json", "keys", "new").stdout)
    digest = made["settings"]["access"]["token_sha256"][0]
    assert access.Access(token_sha256=[digest]).allows(authorization=f"Bearer {made['token']}")
    assert made["settings"]["keys"]["secret"] != made["settings"]["keys"]["public"]


def test_unknown_bench_names_the_known_ones(setup):
    outcome = setup.run("bench", "nothing")
    assert outcome.exit_code == exit_codes.REFUSED
    assert "choose one of" in outcome.stderr
