"""Randomized histories with evacuations among other faults, checked against invariants."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import msgspec
import test_histories
import world as world_module

EXAMPLES = 15
"""Number of histories of one test run; more are generated manually with --hypothesis-seed."""

BOUND_S = 5.0
"""Time after a request from which nothing may start in the domain, seconds."""

UNSTABLE_BOUND_S = 11.0
"""The same where the store was unstable, seconds."""

STORE_FAULTS = frozenset(
    {"partition_owner", "refuse_one", "refuse_all", "make_store_unresponsive"}
    | {"lose_answers", "lose_answers_and_delay"}
)
"""Events by which an entry may not reach the store; bounds hold from their end on."""

KINDS = tuple(kind for kind in test_histories.KINDS if kind != "submit_deadly")
EVACUATION_KINDS = ("evacuate", "evacuate", "end_evacuation", "write_odd_request")

EVENTS = st.lists(
    st.builds(
        test_histories.Event,
        kind=st.sampled_from(KINDS + 3 * EVACUATION_KINDS),
        which=st.integers(min_value=0, max_value=7),
        wait_s=st.sampled_from((0.02, 0.2, 0.7, 1.6, 3.0)),
    ),
    min_size=4,
    max_size=18,
)


class EvacuatedHistory(test_histories.History):
    """A history whose targets belong to domains a and b, with requests to evacuate them."""

    def __init__(self) -> None:
        super().__init__()
        self.requested_at: dict[str, float] = {}
        self.spans: list[tuple[str, float, float]] = []
        for number, engine in enumerate(self.world.engines.values()):
            domain = "ab"[number % 2]
            engine.target = msgspec.structs.replace(engine.target, failure_domain=domain)
            self.world.register(engine.target)
        self.world.run(0.5)

    def _evacuate(self, event: test_histories.Event) -> None:
        domain = "ab"[event.which % 2]
        self.requested_at.setdefault(domain, self.world.clock.seconds())
        self.world.evacuate(domain)

    def _end_evacuation(self, event: test_histories.Event) -> None:
        self.end("ab"[event.which % 2])

    def _write_odd_request(self, event: test_histories.Event) -> None:
        value = (test_histories.NESTED, b"\x00\xff", b"[]", b"{}")[event.which % 4]
        self.world.evacuate(f"odd{event.which}", value)

    def end(self, domain: str) -> None:
        requested_at = self.requested_at.pop(domain, None)
        if requested_at is not None:
            self.world.end_evacuation(domain)
            self.spans.append((domain, requested_at, self.world.clock.seconds()))


def _late_starts(history: EvacuatedHistory, *, bound_s: float, after: float) -> list[tuple]:
    """Returns the starts in a domain after the bound, counted from `after` at the earliest."""
    return [
        (domain, at, key)
        for domain, begin, end in history.spans
        for engine in history.world.engines.values()
        for at, key, _ in engine.started
        if engine.target.failure_domain == domain and max(begin, after) + bound_s < at < end
    ]


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(EVENTS)
def test_evacuations_among_faults_start_nothing_late_and_lose_no_job(events):
    """Guards against orders of events that no single test has, such as a return in a takeover."""
    history = EvacuatedHistory()
    world = history.world
    for event in events:
        history.apply(event)
        world_module.check_all(world)
    history.clear_faults()
    cleared_at = world.clock.seconds()
    stable = STORE_FAULTS.isdisjoint(event.kind for event in events)
    bound_s = BOUND_S if stable else UNSTABLE_BOUND_S
    history.apply(test_histories.Event(kind="evacuate", which=0, wait_s=bound_s))
    for _ in range(4):
        history.apply(test_histories.Event(kind="submit", which=0, wait_s=0.5))
    for domain in tuple(history.requested_at):
        history.end(domain)
    assert _late_starts(history, bound_s=bound_s, after=0.0 if stable else cleared_at) == []
    ends = ("completed", "cancelled", "failed")
    world.run_until(
        lambda: all(world.state(job_id) in ends for job_id in world.accepted),
        limit_s=test_histories.COMPLETION_S,
    )
    for job_id in world.accepted:
        if job_id not in history.cancelled and world.state(job_id) == "failed":
            assert test_histories.most_crashes_under_a_task(world, job_id) >= 2
    world.run(2.0)
    world_module.check_all(world)
