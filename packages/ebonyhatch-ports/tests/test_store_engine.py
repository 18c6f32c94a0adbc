"""Compares the store engine with a naive model that derives its state from a log."""

from ebonyhatch.ports import store, store_engine
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet import task

KEYS = ("a", "b")
TTL_S = 4.0


class NaiveStore:
    """A list of all writes, and the end of each lease; reads derive the state at a time."""

    def __init__(self):
        self.writes = []
        self.ends = {}

    def read(self, key, now):
        """Returns the value and version of a key at a time."""
        found = (b"", store.ABSENT)
        for at, written, value, version, lease in self.writes:
            if written == key and at <= now:
                ended = lease and self.ends[lease] <= now
                found = (b"", store.ABSENT) if ended else (value, version)
        return found


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = task.Clock()
        self.engine = store_engine.StoreEngine(clock=self.clock)
        self.naive = NaiveStore()
        self.versions = {key: [store.ABSENT] for key in KEYS}
        self.watches = []

    def now(self):
        return self.clock.seconds()

    @rule()
    def grant(self):
        self.naive.ends[self.engine.grant(ttl_s=TTL_S).lease_id] = self.now() + TTL_S

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.5]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(data=st.data())
    def renew_or_revoke(self, data):
        if not self.naive.ends:
            return
        lease_id = data.draw(st.sampled_from(sorted(self.naive.ends)))
        alive = self.naive.ends[lease_id] > self.now()
        if data.draw(st.booleans()):
            self.engine.revoke(lease_id=lease_id)
            self.naive.ends[lease_id] = min(self.naive.ends[lease_id], self.now())
            return
        try:
            self.engine.renew(lease_id=lease_id)
        except store.RefusedError:
            assert not alive
        else:
            assert alive
            self.naive.ends[lease_id] = self.now() + TTL_S

    @rule(
        key=st.sampled_from(KEYS), right=st.booleans(), value=st.binary(max_size=2), data=st.data()
    )
    def swap(self, key, right, value, data):
        leases = ["", *sorted(self.naive.ends)]
        lease_id = data.draw(st.sampled_from(leases))
        actual = self.naive.read(key, self.now())[1]
        expected = actual if right else actual + 1
        dead = bool(lease_id) and self.naive.ends[lease_id] <= self.now()
        try:
            stored = self.engine.swap(
                key=key, expected_version=expected, value=value, lease_id=lease_id
            )
        except store.RefusedError:
            assert dead
        except store.ConflictError as error:
            assert not right
            assert error.actual_version == actual
        else:
            assert right
            assert not dead
            assert stored.version > max(self.versions[key])
            self.versions[key].append(stored.version)
            self.naive.writes.append((self.now(), key, value, stored.version, lease_id))

    @rule(key=st.sampled_from(KEYS), wait_s=st.sampled_from([0.0, 2.0, 50.0]))
    def watch(self, key, wait_s):
        after = self.naive.read(key, self.now())[1]
        watching = self.engine.watch(key=key, after_version=after, wait_s=wait_s)
        self.watches.append((watching, key, after, self.now() + wait_s))

    @invariant()
    def reads_agree(self):
        for key in KEYS:
            stored = self.engine.get(key=key)
            assert (stored.value, stored.version) == self.naive.read(key, self.now())

    @invariant()
    def watches_answer_when_due(self):
        waiting = []
        for watching, key, after, until in self.watches:
            changed = self.naive.read(key, self.now())[1] != after
            if watching.called:
                assert watching.result.version != after or self.now() >= until
            else:
                assert not changed
                assert self.now() < until
                waiting.append((watching, key, after, until))
        self.watches = waiting


StoreMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
TestStoreMachine = StoreMachine.TestCase
