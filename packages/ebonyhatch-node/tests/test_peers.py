"""The peer network over real sockets on loopback."""

import pytest
from ebonyhatch.node import frames, keys, messages, peer_link, peer_sockets, peers
from ebonyhatch.ports import workers
from twisted.internet import defer, protocol, reactor, task
from twisted.trial import unittest

RESPONSE_TIMEOUT_S = 0.3
LONG_S = 30.0
SHORT_S = 0.2


def make(entry_id, **options):
    """Creates a network that records its faults."""
    faults = []
    network = peers.PeerNetwork(
        reactor=reactor,
        entry_id=entry_id,
        host="127.0.0.1",
        port=0,
        keys=options.pop("keys", None),
        on_bytes=options.pop("on_bytes", lambda direction, count: None),
        on_fault=faults.append,
        response_timeout_s=RESPONSE_TIMEOUT_S,
        **options,
    )
    network.faults = faults
    return network


def address(network, entry_id, port=None):
    return peers.PeerAddress(entry_id=entry_id, host="127.0.0.1", port=port or network.port)


@defer.inlineCallbacks
def until(condition):
    """Waits for a condition; bounded by the timeout of the test."""
    while not condition():
        yield task.deferLater(reactor, 0.01)


class DroppingRelay(protocol.Protocol):
    """Relays to a peer until `dropping` is set; then it drops all data in both directions."""

    peer = None

    def connectionMade(self):  # noqa: N802
        self.waiting = []
        self.factory.relays.append(self)
        self.dropping = False
        client = protocol.ClientCreator(reactor, OutboundRelay, self)
        client.connectTCP("127.0.0.1", self.factory.target)

    def dataReceived(self, data):  # noqa: N802
        if self.dropping:
            return
        if self.peer is None:
            self.waiting.append(data)
        else:
            self.peer.transport.write(data)

    def connectionLost(self, reason):  # noqa: N802
        if self.peer is not None:
            self.peer.transport.loseConnection()


class OutboundRelay(protocol.Protocol):
    """The connection of a relay to its target."""

    def __init__(self, inbound):
        self.inbound = inbound

    def connectionMade(self):  # noqa: N802
        self.inbound.peer = self
        self.transport.writeSequence(self.inbound.waiting)

    def dataReceived(self, data):  # noqa: N802
        if not self.inbound.dropping:
            self.inbound.transport.write(data)


class PeersTest(unittest.TestCase):
    timeout = 20

    def network(self, entry_id, **options):
        network = make(entry_id, **options)
        network.start()
        self.addCleanup(network.close)
        return network

    def pair(self, **options):
        one, two = self.network("a", **options), self.network("b")
        one.set_peers(peers=(address(one, "a"), address(two, "b")))
        two.set_peers(peers=(address(one, "a"), address(two, "b")))
        return one, two

    @defer.inlineCallbacks
    def test_replies_match_by_id_out_of_order(self):
        one, two = self.pair()
        held = []

        def hold(sender, message):
            done = defer.Deferred()
            held.append((message.version, done))
            return done

        two.handle(messages.OwnershipCall, hold)
        yield until(lambda: one.last_frame_age_s("b") is not None)
        calls = [
            one.call(entry_id="b", message=messages.OwnershipCall(version=number), timeout_s=LONG_S)
            for number in range(5)
        ]
        yield until(lambda: len(held) == 5)
        for number, done in reversed(held):
            done.callback(messages.OwnershipReply(version=number, record=b"x"))
        replies = yield defer.gatherResults(calls)
        assert [reply.unwrap().version for reply in replies] == list(range(5))

    @defer.inlineCallbacks
    def test_certainly_not_sent(self):
        one, two = self.pair(calls_limit=1)
        two.handle(messages.OwnershipCall, lambda sender, message: defer.Deferred())
        call = messages.OwnershipCall(version=1)
        unknown = yield one.call(entry_id="c", message=call, timeout_s=LONG_S)
        yield until(lambda: one.last_frame_age_s("b") is not None)
        pending = one.call(entry_id="b", message=call, timeout_s=LONG_S)
        full = yield one.call(entry_id="b", message=call, timeout_s=LONG_S)
        for outcome in (unknown, full):
            assert isinstance(outcome.failure(), peers.PeerNotSentError)
        one.close()
        outcome = yield pending
        assert isinstance(outcome.failure(), peers.PeerUnknownError)

    @defer.inlineCallbacks
    def test_call_to_a_closed_peer_is_not_sent(self):
        one, two = self.network("a"), self.network("b")
        two.close()
        one.set_peers(peers=(address(two, "b"),))
        outcome = yield one.call(
            entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=LONG_S
        )
        assert isinstance(outcome.failure(), peers.PeerNotSentError)

    @defer.inlineCallbacks
    def test_refused_unhandled_and_failed_handlers(self):
        one, two = self.pair()

        def fail(sender, message):
            raise RuntimeError("fault in a handler")

        two.handle(messages.JobShowCall, fail)
        yield until(lambda: one.last_frame_age_s("b") is not None)
        refused = yield one.call(
            entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=LONG_S
        )
        failed = yield one.call(
            entry_id="b", message=messages.JobShowCall(cell="c", job_id="j"), timeout_s=SHORT_S
        )
        assert isinstance(refused.failure(), peers.PeerNotSentError)
        assert isinstance(failed.failure(), peers.PeerUnknownError)
        assert two.faults == ["unhandled", "handler-failed"]

    @defer.inlineCallbacks
    def test_late_reply_is_dropped_and_counted(self):
        one, two = self.pair()
        held = []
        two.handle(messages.OwnershipCall, lambda s, m: held.append(defer.Deferred()) or held[0])
        yield until(lambda: one.last_frame_age_s("b") is not None)
        outcome = yield one.call(
            entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=SHORT_S
        )
        assert isinstance(outcome.failure(), peers.PeerUnknownError)
        held[0].callback(messages.OwnershipReply(version=1, record=b""))
        yield until(lambda: "late-reply" in one.faults)

    @defer.inlineCallbacks
    def test_call_survives_the_replacement_of_an_unresponsive_connection(self):
        one, two = self.network("a"), self.network("b")
        factory = protocol.Factory.forProtocol(DroppingRelay)
        factory.relays, factory.target = [], two.port
        relay = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(relay.stopListening)
        one.set_peers(peers=(address(two, "b", relay.getHost().port),))
        two.set_peers(peers=(address(one, "a"),))
        held = []
        two.handle(messages.OwnershipCall, lambda s, m: held.append(defer.Deferred()) or held[0])
        yield until(lambda: one.last_frame_age_s("b") is not None)
        call = one.call(entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=LONG_S)
        yield until(lambda: held)
        # On a loaded machine a connection may already have been replaced, so every relay drops
        # its data.
        faults, relays = len(one.faults), len(factory.relays)
        for made in factory.relays:
            made.dropping = True
        yield until(lambda: "silent" in one.faults[faults:] and len(factory.relays) > relays)
        yield until(lambda: one._links["b"]._confirmed)
        held[0].callback(messages.OwnershipReply(version=7, record=b"x"))
        reply = yield call
        assert reply.unwrap().version == 7

    @defer.inlineCallbacks
    def test_unresponsive_only_while_an_answer_is_due(self):
        one, two = self.network("a"), self.network("b")
        far = peers.PeerAddress(entry_id="b", host="127.0.0.1", port=two.port, near=False)
        one.set_peers(peers=(far,))
        assert one.is_unresponsive("c") and not one.is_unresponsive("b")
        yield until(lambda: one.last_frame_age_s("b") is not None)
        yield until(lambda: one.last_frame_age_s("b") > 2 * RESPONSE_TIMEOUT_S)
        assert not one.is_unresponsive("b")
        two.close()
        one.send(entry_id="b", message=messages.OwnershipCall(version=1))
        yield until(lambda: one.is_unresponsive("b"))

    @defer.inlineCallbacks
    def test_one_way_messages_confirm_the_connection(self):
        one, two = self.pair()
        seen = []
        two.handle(messages.OwnershipCall, lambda sender, message: seen.append(sender))
        yield until(lambda: one.last_frame_age_s("b") is not None)
        yield until(lambda: one.last_frame_age_s("b") > RESPONSE_TIMEOUT_S / 6)
        assert one.send(entry_id="b", message=messages.OwnershipCall(version=1))
        assert one._links["b"]._awaiting_since is not None
        yield until(lambda: seen == ["a"] and one._links["b"]._awaiting_since is None)

    @defer.inlineCallbacks
    def test_connection_that_is_not_kept_is_opened_by_a_call_and_closed_when_idle(self):
        self.patch(peer_link, "ON_DEMAND_IDLE_S", 0.6)
        one, two = self.network("a"), self.network("b")
        one.set_peers(peers=(address(two, "b"),), linked=())
        two.set_peers(peers=(address(one, "a"),), linked=())
        assert one.connections == 0
        seen = []
        two.handle(
            messages.OwnershipCall,
            lambda sender, message: (
                seen.append(message.version)
                or messages.OwnershipReply(version=message.version, record=b"")
            ),
        )
        reply = yield one.call(
            entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=LONG_S
        )
        assert reply.unwrap().version == 1
        assert (one.connections, two.connections) == (1, 0)
        yield until(lambda: one.connections == 0)
        assert one.send(entry_id="b", message=messages.OwnershipCall(version=2))
        yield until(lambda: seen == [1, 2])
        assert one.connections == 1
        assert not one.faults

    @defer.inlineCallbacks
    def test_connection_with_an_unanswered_call_is_not_closed_as_idle(self):
        self.patch(peer_link, "ON_DEMAND_IDLE_S", 0.05)
        one, two = self.network("a"), self.network("b")
        one.set_peers(peers=(address(two, "b"),), linked=())
        held = []
        two.handle(messages.OwnershipCall, lambda s, m: held.append(defer.Deferred()) or held[0])
        call = one.call(entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=LONG_S)
        yield until(lambda: held)
        yield task.deferLater(reactor, 2 * RESPONSE_TIMEOUT_S)
        assert one.connections == 1
        held[0].callback(messages.OwnershipReply(version=1, record=b""))
        yield call
        yield until(lambda: one.connections == 0)

    @defer.inlineCallbacks
    def test_call_on_a_connection_to_a_closed_peer_that_is_not_kept_has_an_unknown_outcome(self):
        one, two = self.network("a"), self.network("b")
        two.close()
        one.set_peers(peers=(address(two, "b"),), linked=())
        outcome = yield one.call(
            entry_id="b", message=messages.OwnershipCall(version=1), timeout_s=SHORT_S
        )
        assert isinstance(outcome.failure(), peers.PeerUnknownError)

    @defer.inlineCallbacks
    def test_idle_connection_is_pinged_only_while_it_is_kept(self):
        one, two = self.network("a"), self.network("b")
        pings = []
        receive = two._receive_from_router
        two._router._on_frame = lambda *parts: pings.append(parts) or receive(*parts)
        one.set_peers(peers=(address(two, "b"),))
        yield until(lambda: len(pings) >= 4)
        one.set_peers(peers=(address(two, "b"),), linked=())
        assert one.connections == 1
        yield until(lambda: one._links["b"]._awaiting_since is None)
        count = len(pings)
        yield task.deferLater(reactor, 2 * RESPONSE_TIMEOUT_S)
        assert len(pings) <= count + 1
        one.set_peers(peers=(address(two, "b"),))
        yield until(lambda: len(pings) >= count + 3)

    @defer.inlineCallbacks
    def test_removed_and_moved_peers_lose_their_connections(self):
        one, two, three = self.network("a"), self.network("b"), self.network("c")
        one.set_peers(peers=(address(two, "b"), address(three, "c")), linked=("b",))
        one.send(entry_id="c", message=messages.OwnershipCall(version=1))
        yield until(lambda: one.last_frame_age_s("b") is not None)
        assert one.connections == 2
        one.set_peers(peers=(address(three, "c"),), linked=("b",))
        assert [peer.entry_id for peer in one.peers] == ["c"]
        assert one.connections == 1
        assert one.last_frame_age_s("b") is None
        assert not one.send(entry_id="b", message=messages.OwnershipCall(version=1))
        one.set_peers(peers=(address(two, "c"),), linked=("c",))
        yield until(lambda: one._links["c"].address.port == two.port)

    @defer.inlineCallbacks
    def test_garbage_and_unknown_versions_are_counted(self):
        one = self.network("a")
        factory = peer_sockets.PeerFactory(reactor=reactor)
        self.addCleanup(factory.shutdown)
        dealer = peer_sockets.Dealer(factory=factory, on_frame=lambda frame: None)
        dealer.connect(host="127.0.0.1", port=one.port)
        good = frames.encode(kind=frames.Kind.SEND, sender="x")
        yield until(lambda: dealer.try_send([b"\xc1garbage"]))
        dealer.try_send([b"\x95\x63" + good[2:]])
        dealer.try_send([good, good])
        dealer.try_send([good])
        yield until(lambda: len(one.faults) == 4)
        assert one.faults == ["bad-frame", "unknown-version", "bad-frame", "bad-message"]

    @defer.inlineCallbacks
    def test_keys_authenticate_the_sender_and_refuse_unknown_entries(self):
        pairs = {name: keys.new_pair() for name in ("a", "b", "mallory")}
        public = {name: pair.public for name, pair in pairs.items()}
        known = {name: public[name] for name in ("a", "b")}
        rings = {name: keys.KeyRing(pair=pair, peers=known) for name, pair in pairs.items()}
        one = self.network("a", keys=rings["a"])
        two = self.network("b", keys=rings["b"])
        unknown = self.network("mallory", keys=rings["mallory"])
        impostor = self.network("z", keys=rings["b"])
        for network in (two, unknown, impostor):
            network.set_peers(peers=(address(one, "a"),))
        senders = []
        one.handle(messages.OwnershipCall, lambda sender, message: senders.append(sender))
        yield until(lambda: two.last_frame_age_s("a") is not None)
        assert two.send(entry_id="a", message=messages.OwnershipCall(version=1))
        yield until(lambda: senders == ["b"])
        yield until(lambda: {"unknown-key", "wrong-sender"} <= set(one.faults))
        assert unknown.last_frame_age_s("a") is None

    @defer.inlineCallbacks
    def test_large_bodies_pass_and_too_large_ones_are_not_sent(self):
        one, two = self.pair()
        two.handle(
            messages.RequestCall,
            lambda sender, message: messages.RequestReply(
                request_id=message.request.request_id, reason=str(len(message.request.body))
            ),
        )
        yield until(lambda: one.last_frame_age_s("b") is not None)
        accepted = yield one.call(entry_id="b", message=request(4_000_000), timeout_s=LONG_S)
        refused = yield one.call(entry_id="b", message=request(7_000_000), timeout_s=LONG_S)
        assert accepted.unwrap().reason == "4000000"
        assert isinstance(refused.failure(), peers.PeerNotSentError)

    def test_address_in_use(self):
        one = self.network("a")
        two = make("b")
        two._port = one.port
        with pytest.raises(peers.PeerBindError):
            two.start()


def request(size):
    return messages.RequestCall(
        cell="c",
        request=workers.ServiceRequest(
            request_id="r",
            service="s",
            method="POST",
            path="/",
            headers=(),
            body=bytes(size),
            timeout_s=1.0,
        ),
        work_class="w",
        tenant="t",
        idempotent=True,
    )
