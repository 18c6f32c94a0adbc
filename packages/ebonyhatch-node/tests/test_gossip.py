from ebonyhatch.core import scheduler
from ebonyhatch.node import gossip, messages
from twisted.internet import task

CAPACITY = scheduler.CapacitySummary(
    free_slots=1, total_slots=2, queued_urgent=0, wait_s=0.0, queued_batch=0
)


class FakeNetwork:
    def __init__(self):
        self.sent = []
        self.handler = None

    def send(self, *, entry_id, message):
        self.sent.append((entry_id, message))
        return True

    def handle(self, message_type, handler):
        self.handler = handler


def gossip_of(entry_id, generation=1, version=1, draining=False):
    rooms = (messages.CellRoom(cell=f"{entry_id}/0", epoch=1, room=CAPACITY),)
    return messages.Gossip(
        entry_id=entry_id,
        generation=generation,
        ownership_version=version,
        rooms=rooms,
        draining=draining,
    )


def make(**peers):
    clock, network = task.Clock(), FakeNetwork()
    gossiper = gossip.Gossiper(reactor=clock, network=network, report=lambda: gossip_of("me", 5, 5))
    gossiper.set_peers(**peers)
    gossiper.start()
    return clock, network, gossiper


def test_near_peers_each_period_and_far_ones_in_rounds_without_rooms():
    far = tuple(f"far-{number}" for number in range(10))
    clock, network, gossiper = make(near=("a", "b"), far=far)
    for _ in range(5):
        clock.advance(gossip.PERIOD_S)
    near_sent = [message for name, message in network.sent if name in "ab"]
    far_sent = [(name, message) for name, message in network.sent if name in far]
    assert len(near_sent) == 10 and all(message.rooms for message in near_sent)
    assert sorted(name for name, _ in far_sent) == sorted(far)
    assert not any(message.rooms for _, message in far_sent)
    gossiper.close()
    clock.advance(9)
    assert len(network.sent) == 20


def test_newest_of_each_peer_with_its_age():
    clock, network, gossiper = make(near=("a", "b"))
    network.handler("a", gossip_of("a"))
    clock.advance(2)
    network.handler("b", gossip_of("b", draining=True))
    network.handler("a-stranger", gossip_of("a-stranger"))
    network.handler("a", gossip_of("b", generation=99))
    assert gossiper.age_s("a") == 2 and gossiper.age_s("a-stranger") is None
    assert [(room.entry_id, room.age_s) for room in gossiper.cell_capacities()] == [("a", 2)]
    assert gossiper.generations() == {"a": 1, "b": 1}
    gossiper.set_peers(near=("b",))
    assert gossiper.newest("a") is None


def test_listeners_are_notified_only_of_newer_versions():
    _, network, gossiper = make(near=("a",))
    generations, versions = [], []
    gossiper.on_generation(lambda *received: generations.append(received))
    gossiper.on_ownership(lambda *received: versions.append(received))
    for generation, version in ((5, 5), (4, 6), (6, 4)):
        network.handler("a", gossip_of("a", generation, version))
    assert (generations, versions) == ([("a", 6)], [("a", 6)])
