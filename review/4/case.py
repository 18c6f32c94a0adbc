"""A worker is lost for good; a job that lasts and needs the other one of its kind must run."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

JOB = "5c0e7a21d94b3601"
CPU = 1000
WAIT_S = 40.0
WORKERS = ("i-7a01", "i-7a02", "i-7b03", "i-7b04", "i-7b05", "i-7b06", "i-7b07", "i-7b08")
LABELS = {name: "b,r1-1" if name in WORKERS[:2] else f"a,r1-{index // 3}"
          for index, name in enumerate(WORKERS)}


def case(deployment: harness.Deployment) -> str:
    if harness.trouble():
        deployment.kill(WORKERS[0])
        # Its registration is removed after three heartbeats of silence.
        time.sleep(15.0)
    spec = {"lasts": True, "cpu": CPU}
    steps = [{"count": 1, "cpu": CPU, "mem_mb": 100, "estimate_ms": 1000, "long_running": True,
              "requires": "b"}]
    if not deployment.submit(JOB, steps, spec):
        raise harness.CouldNotRunError("the job was not accepted")
    until = time.monotonic() + WAIT_S
    while not deployment.running(JOB) and time.monotonic() < until:
        time.sleep(0.5)
    state = deployment.state(JOB)
    running = deployment.running(JOB)
    deployment.note("seen", state=state, running=running)
    if not running:
        return f"LOST: nothing of the job has run {WAIT_S:.0f} s after it was accepted; it is {state}"
    return ""


sys.exit(harness.run(case, str(FOLDER), entries=3, workers=WORKERS, labels=LABELS))
