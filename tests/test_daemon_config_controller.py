"""Configuration controller: pushes of new revisions, cache, lookups and fetches."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from bramleycrank.daemon.config_controller import PUSH_FANOUT, RELAY_FANOUT, ConfigController
from bramleycrank.exceptions import (
    ConfigurationUnavailable,
    MalformedBody,
    NotLeader,
    PeerUnreachable,
    StorageError,
    UnknownService,
)
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.routing import RouteIndex
from bramleycrank.routing.packing import pack
from bramleycrank.settings import ConfigSettings
from bramleycrank.state import ReplicatedState


class FakeVoter:
    """A voter with a real `ReplicatedState`; fakes the consensus, peers, clients and cache."""

    def __init__(self, peers=20, cached=None, decode_routes=None):
        self.cached = cached
        self.state = ReplicatedState()
        self.confirmed = False
        self.is_leader = False
        self.saved = []
        self.disk_fails = False
        self.pushed = {}
        self.fetch_reply = None
        self.callbacks = []
        self.index = 0
        self._peers = [f"127.0.0.1:{9000 + n}" for n in range(peers)]
        self.controller = ConfigController(
            ConfigSettings(), self, self, self, self, random.Random(1), decode_routes
        )

    # Consensus.
    def subscribe(self, callback):
        self.callbacks.append(callback)

    def confirmed_at(self):
        return asyncio.get_running_loop().time() if self.confirmed else None

    def leader_vm(self):
        return "own" if self.confirmed else ""

    def leader_endpoint(self):
        return ("127.0.0.1", 7070) if self.confirmed else None

    async def confirm_read(self, timeout_s):
        if not self.confirmed:
            raise NotLeader()
        return 1

    async def wait_role_change(self, timeout_s):
        await asyncio.sleep(timeout_s)

    # Cache.
    def load(self):
        return self.cached

    def save(self, image):
        if self.disk_fails:
            raise StorageError("no space left")
        self.saved.append(image.revision)

    # Peers and clients.
    def addresses(self):
        return self._peers

    def sample_across_domains(self, count):
        return self._peers[:count]

    local_sample = sample_across_domains

    def is_remote(self, address):
        return False

    def self_record(self):
        return peer_pb2.VmRecord(vm_id="own")

    async def call(self, address, method, request, *, timeout_s, purpose):
        if method == "Probe":
            self.pushed.setdefault(address, []).append(request.gossip.config.revision)
            return None
        if self.fetch_reply is None:
            raise PeerUnreachable()
        return self.fetch_reply

    def stub(self, address):
        async def fetch(request, *, timeout):
            return await self.call(
                address, "FetchConfig", request, timeout_s=timeout, purpose="tables"
            )

        return SimpleNamespace(FetchConfig=fetch)

    def apply(self, command):
        self.index += 1
        data = command.SerializeToString()
        self.state.apply(log_pb2.Entry(index=self.index, term=1, command=data))
        for callback in self.callbacks:
            callback()

    def put_service(self, name):
        service = log_pb2.ServiceConfig(name=name)
        self.apply(log_pb2.Command(change=log_pb2.Change(change_id=name, put_service=service)))


def run(scenario, **voter_args):
    async def body():
        voter = FakeVoter(**voter_args)
        await voter.controller.start()
        try:
            await scenario(voter, voter.controller)
        finally:
            await voter.controller.stop()

    asyncio.run(body())


def test_leader_pushes_a_confirmed_revision_at_once_to_a_few_vms():
    # Without the push, a change spreads by gossip only, which is too slow to reach every VM within
    # 2 s in 99 of 100 cases.
    async def scenario(voter, controller):
        voter.confirmed = True
        voter.put_service("a")
        await asyncio.sleep(0.01)
        assert len(voter.pushed) == PUSH_FANOUT
        assert all(revisions == [1] for revisions in voter.pushed.values())

    run(scenario)


def test_a_fetched_revision_is_pushed_at_once_and_only_once():
    # Without the relay, the time to reach all VMs is the probe period times the logarithm of their
    # number.
    async def scenario(voter, controller):
        voter.state = None  # a VM without a copy of the log
        change = log_pb2.Change(change_id="a", put_service=log_pb2.ServiceConfig(name="a"))
        status = peer_pb2.ConfigStatus(revision=1, leader_revision=1, confirmed=True)
        delta = log_pb2.ConfigDelta(revision=1, change=change)
        voter.fetch_reply = peer_pb2.FetchConfigReply(deltas=[delta], status=status)
        for address in voter.addresses()[:2]:
            controller.on_gossip(address, status)
        await asyncio.sleep(0.05)
        assert controller.revision == 1
        assert sum(map(len, voter.pushed.values())) == RELAY_FANOUT
        assert all(revisions == [1] for revisions in voter.pushed.values())

    run(scenario)


def test_nothing_is_pushed_without_confirmation_or_for_a_claim():
    async def scenario(voter, controller):
        voter.put_service("a")
        await asyncio.sleep(0.01)
        assert voter.pushed == {}
        voter.confirmed = True
        voter.put_service("b")
        await asyncio.sleep(0.01)
        before = {address: list(revisions) for address, revisions in voter.pushed.items()}
        claim = log_pb2.ClaimOpen(id=log_pb2.ClaimId(service="a", request_key="k"), attempt_id="x")
        voter.apply(log_pb2.Command(claim_open=claim))
        await asyncio.sleep(0.01)
        assert voter.pushed == before

    run(scenario)


def test_lookup_errors_distinguish_unknown_service_from_missing_configuration():
    async def scenario(voter, controller):
        with pytest.raises(ConfigurationUnavailable):
            controller.service("a")
        assert controller.stale_ms() > 0
        voter.confirmed = True
        voter.put_service("a")
        await asyncio.wait_for(controller.wait_in_force(), 1.0)
        assert controller.service("a").version == 1 and controller.stale_ms() == 0
        with pytest.raises(UnknownService):
            controller.service("b")

    run(scenario)


def test_cached_configuration_is_not_used_before_it_is_in_force():
    # Otherwise a VM that was down for a long time would serve with the outdated configuration
    # of the file, although it receives messages of the leader.
    async def scenario(voter, controller):
        with pytest.raises(ConfigurationUnavailable):
            controller.service("a")
        voter.confirmed = True
        for name in "ab":
            voter.put_service(name)
        assert controller.revision == 2
        assert [controller.service(name).version for name in "ab"] == [1, 2]

    cached = log_pb2.ConfigImage(revision=1, services=[log_pb2.ServiceConfig(name="a", version=1)])
    run(scenario, cached=cached)


def test_failing_subscriber_does_not_stop_other_subscribers_or_ticks():
    # The exception reached the Raft runner, which then stopped permanently, or ended the ticks.
    async def scenario(voter, controller):
        def fail():
            raise ValueError("subscriber")

        notified = []
        controller.subscribe(fail)
        controller.subscribe(lambda: notified.append(controller.revision))
        voter.confirmed = True
        voter.put_service("a")
        assert notified == voter.saved == [1]
        await asyncio.wait_for(controller.wait_in_force(), 1.0)

    run(scenario)


def test_ticks_continue_after_a_failed_tick(monkeypatch):
    # Without ticks, a VM that receives no gossip never fetches from the leader, and its
    # configuration is never updated.
    async def scenario(voter, controller):
        ticks = []

        def tick(now):
            ticks.append(now)
            raise ValueError("tick")

        monkeypatch.setattr(controller._follower, "tick", tick)
        async with asyncio.timeout(3):
            while len(ticks) < 2:
                await asyncio.sleep(0.01)

    run(scenario)


def test_every_revision_in_force_is_saved_and_passed_to_subscribers():
    async def scenario(voter, controller):
        notified = []
        controller.subscribe(lambda: notified.append(controller.revision))
        voter.confirmed = True
        for name in "abc":
            voter.put_service(name)
        assert voter.saved == notified == [1, 2, 3]

    run(scenario)


def test_revision_is_in_force_although_the_disk_is_full():
    async def scenario(voter, controller):
        voter.disk_fails = voter.confirmed = True
        voter.put_service("a")
        assert controller.revision == 1 and "no space left" in controller.dump()["cache_error"]

    run(scenario)


def test_confirmed_fetch_is_refused_by_a_vm_that_is_not_the_leader():
    async def scenario(voter, controller):
        voter.put_service("a")
        request = peer_pb2.FetchConfigRequest(leader_confirmed=True)
        with pytest.raises(NotLeader):
            await controller.on_fetch(request)
        voter.confirmed = True
        reply = await controller.on_fetch(request)
        assert reply.status.confirmed and [d.revision for d in reply.deltas] == [1]

    run(scenario)


@pytest.mark.parametrize(
    ("decoded", "format", "customers", "error"),
    [
        ([{"name": "a", "keys": ["key-a"]}], 0, 1, ""),
        ([{"name": "a", "keys": ["key-a"]}], 99, 0, ""),
        (
            [{"name": "a", "keys": ["key-a"]}, {"name": "b", "keys": ["key-a"]}],
            0,
            2,
            "routes: keys in the document",
        ),
        (None, 0, 0, "routes: the document"),
    ],
    ids=["older build", "newer build", "refused by this build", "malformed for this build"],
)
def test_the_document_of_an_older_build_is_decoded_again(decoded, format, customers, error, caplog):
    """Guards against keys that nobody checks since a VM of an older build accepted the table."""

    def decode(document: bytes) -> log_pb2.RouteTable:
        assert document == b"doc with key-a"
        if decoded is None:
            raise MalformedBody("config.Tenants has the wrong type")
        items = [log_pb2.Customer(**fields) for fields in decoded]
        return log_pb2.RouteTable(version=4, document=document, customers=items, format=1)

    async def scenario(voter, controller):
        voter.confirmed = True
        table = log_pb2.RouteTable(version=4, document=b"doc with key-a", format=format)
        change = log_pb2.Change(change_id="c", put_routes=pack(table))
        voter.apply(log_pb2.Command(change=change))
        assert controller.routes().version == 4
        assert len(controller.routes().customers) == customers
        index = RouteIndex(controller.routes()).customers
        assert index.in_use == (format == 0)
        valid = customers == 1
        assert (index.identify(b"key-a") is not None) == valid
        assert index.is_unclear(b"key-a") == (format == 0 and not valid)
        assert "key-a" not in repr(controller.dump()) + caplog.text
        assert error in caplog.text and ("routes:" in caplog.text) == bool(error)

    run(scenario, decode_routes=decode)


def test_a_table_is_not_known_to_be_the_newest_if_a_peer_names_a_higher_revision():
    """Guards against 401 for a key that a newer table has."""

    async def scenario(voter, controller):
        assert not controller.is_newest(), "nothing is confirmed"
        voter.confirmed = True
        voter.put_service("a")
        assert controller.is_newest()
        status = peer_pb2.ConfigStatus(revision=controller.revision + 1)
        controller.on_gossip("127.0.0.1:9001", status)
        assert controller.is_current() and not controller.is_newest()
        voter.put_service("b")
        assert controller.is_newest()

    run(scenario)
