"""Tests of the configuration follower with several VMs whose clocks differ."""

import bisect
import heapq
import itertools
import random

import attrs
import pytest
from consensus_cluster import hypothesis_settings
from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.proto import log_pb2 as pb
from bramleycrank.proto.peer_pb2 import ConfigStatus, FetchConfigReply
from bramleycrank.state import ConfigFollower, ConfigState
from bramleycrank.state.confirmation import Confirmation
from bramleycrank.state.types import ConfigInForce, FetchConfig, FollowerConfig

SEEDS = st.integers(0, 2**32)

KEY_IN_FORCE_S = 4.0
"""Time after which no VM may refuse a new key for good, in seconds."""


@attrs.define(eq=False)
class Vm:
    """A VM with its own clock, whose rate differs by the error that NTP allows."""

    address: str
    offset: float
    rate: float
    follower: ConfigFollower
    cached: pb.ConfigImage | None = None
    in_force: int = -1
    revision: int = 0
    before_restart: int = -1

    def clock(self, time: float) -> float:
        return self.offset + self.rate * time


class FollowerSimulation:
    """Simulates VMs and gossip with delays, and checks them against the history of commits."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.log = ConfigState()
        self.commits: list[tuple[float, int]] = []
        self.events: list[tuple[float, int, object]] = []
        self.ids = itertools.count()
        self.max_delay = 0.01
        self.loss = 0.0
        self.blocked_links: set[tuple[str, str]] = set()
        self.vms = [
            Vm(
                f"10.0.0.{i}:7070",
                self.rng.uniform(0, 1e6),
                1 + self.rng.uniform(-5e-4, 5e-4),
                None,
            )
            for i in range(size)
        ]
        self.leader: Vm | None = self.vms[0]
        for vm in self.vms:
            self.start(vm)
            self.schedule_at(self.rng.random(), lambda vm=vm: self.gossip(vm))
            self.schedule_at(self.rng.random(), lambda vm=vm: self.tick(vm))

    def start(self, vm: Vm) -> None:
        rng = random.Random(self.rng.random())
        vm.follower = ConfigFollower.from_config(
            FollowerConfig(), vm.cached, rng, vm.clock(self.time)
        )
        vm.before_restart, vm.in_force, vm.revision = vm.in_force, -1, 0

    def schedule_at(self, time: float, call: object) -> None:
        heapq.heappush(self.events, (time, next(self.ids), call))

    def schedule_delivery(self, call: object) -> None:
        self.schedule_at(self.time + self.rng.uniform(0, self.max_delay), call)

    def commit(self) -> None:
        revision = self.log.revision + 1
        change = pb.Change(change_id=str(revision), expected_version=0)
        change.put_vm.vm_id = f"vm{revision}"
        self.log.apply_change(change)
        self.commits.append((self.time, revision))

    def run(self, duration: float) -> None:
        end = self.time + duration
        while self.events and self.events[0][0] <= end:
            self.time, _, call = heapq.heappop(self.events)
            call()
        self.time = end
        for vm in self.vms:
            self.check(vm)

    def is_delivered(self, vm: Vm, peer: Vm) -> bool:
        return (
            vm.address,
            peer.address,
        ) not in self.blocked_links and self.rng.random() >= self.loss

    def tick(self, vm: Vm) -> None:
        now = vm.clock(self.time)
        if vm is self.leader:
            host, port = vm.address.split(":")
            # The newest quorum round started at most one heartbeat period ago.
            confirmed_at = vm.clock(self.time - self.rng.uniform(0, 0.15))
            self.execute(
                vm, vm.follower.on_local(self.log, True, now, confirmed_at, (host, int(port)))
            )
        self.execute(vm, vm.follower.tick(vm.clock(self.time)))
        self.schedule_at(self.time + 0.15, lambda: self.tick(vm))

    def gossip(self, vm: Vm) -> None:
        """Probe a random VM; the probe and its reply carry the status."""
        peer = self.rng.choice([other for other in self.vms if other is not vm])
        sent_at, follower = vm.clock(self.time), vm.follower
        probe = follower.status(sent_at)

        def on_probe() -> None:
            now = peer.clock(self.time)
            self.execute(peer, peer.follower.on_status(vm.address, probe, now))
            probe_reply = peer.follower.status(now)
            if self.is_delivered(peer, vm):
                self.schedule_delivery(lambda: on_probe_reply(probe_reply))

        def on_probe_reply(probe_reply: ConfigStatus) -> None:
            if vm.follower is follower:
                now = vm.clock(self.time)
                self.execute(vm, follower.on_status(peer.address, probe_reply, now, sent_at))

        if self.is_delivered(vm, peer):
            self.schedule_delivery(on_probe)
        self.schedule_at(self.time + 1, lambda: self.gossip(vm))

    def execute(self, vm: Vm, actions: list[object]) -> None:
        for action in actions:
            match action:
                case FetchConfig():
                    self.fetch(vm, action)
                case ConfigInForce(revision):
                    assert revision > vm.in_force
                    if vm.follower.is_current(vm.clock(self.time)):
                        assert revision >= vm.before_restart
                    vm.in_force = revision
                    vm.cached = vm.follower.config.image() if vm.cached is not None else None
        self.check(vm)

    def fetch(self, vm: Vm, action: FetchConfig) -> None:
        peer = next(other for other in self.vms if other.address == action.peer_address)
        follower = vm.follower

        def failed() -> None:
            if vm.follower is follower:
                now = vm.clock(self.time)
                self.execute(vm, follower.on_fetch_failed(action.peer_address, now))

        def on_request() -> None:
            if action.leader_confirmed and peer is not self.leader:
                self.schedule_delivery(failed)
                return
            now = peer.clock(self.time)
            if action.leader_confirmed:
                self.execute(peer, peer.follower.on_local(self.log, True, now, now))
            reply = peer.follower.fetch_reply(action.from_revision, now, action.routes_digest)
            self.schedule_delivery(lambda: on_reply(reply))

        def on_reply(reply: FetchConfigReply) -> None:
            if vm.follower is follower:
                now = vm.clock(self.time)
                self.execute(vm, follower.on_fetched(action.peer_address, reply, now))

        self.schedule_delivery(on_request if self.is_delivered(vm, peer) else failed)

    def check(self, vm: Vm) -> None:
        """Check that ages are never understated and that revisions never decrease."""
        now, follower = vm.clock(self.time), vm.follower
        assert follower.config.revision >= vm.revision
        vm.revision = follower.config.revision
        assert self.revision_at(self.time - follower.stale_s(now)) <= follower.config.revision
        if follower.is_newest(now):  # a key that is unknown here is refused for good
            assert self.revision_at(self.time - KEY_IN_FORCE_S) <= follower.config.revision
        status = follower.status(now)
        if status.confirmed:
            covered = self.revision_at(self.time - status.leader_age_ms / 1000)
            assert covered <= status.leader_revision

    def revision_at(self, time: float) -> int:
        # Clock times are floats of up to 1e6 s, whose rounding error is below a microsecond.
        return bisect.bisect_left(self.commits, (time - 1e-6, 0))

    def current_flags(self) -> list[bool]:
        return [vm.follower.is_current(vm.clock(self.time)) for vm in self.vms]


@hypothesis_settings(80)
@given(seed=SEEDS, size=st.integers(2, 9))
def test_ages_are_never_understated_and_revisions_never_decrease(seed, size):
    """Guards against a VM that reports an old configuration as current, under delays and faults."""
    simulation = FollowerSimulation(size, seed)
    rng = simulation.rng
    for vm in simulation.vms:
        vm.cached = rng.choice([None, pb.ConfigImage()])
    for _ in range(25):
        simulation.max_delay = rng.choice([0.01, 0.5, 5.0])
        simulation.loss = rng.choice([0.0, 0.0, 0.3])
        isolated = {vm.address for vm in simulation.vms if rng.random() < 0.2}
        simulation.blocked_links = (
            {(a.address, b) for a in simulation.vms for b in isolated}
            if rng.random() < 0.3
            else set()
        )
        for _ in range(rng.choice([0, 1, 3, 1100] if rng.random() < 0.1 else [0, 1, 3])):
            simulation.commit()
        if rng.random() < 0.2:
            simulation.leader = rng.choice([*simulation.vms, None])
        if rng.random() < 0.3:
            simulation.start(
                rng.choice([vm for vm in simulation.vms if vm is not simulation.leader])
            )
        simulation.run(rng.choice([0.1, 1.0, 4.0]))
    simulation.max_delay, simulation.loss, simulation.blocked_links = 0.01, 0.0, set()
    simulation.leader = simulation.leader or simulation.vms[0]
    simulation.run(15)
    assert all(simulation.current_flags())
    assert all(vm.in_force == simulation.log.revision for vm in simulation.vms)
    assert all(vm.follower.config.image() == simulation.log.image() for vm in simulation.vms)


@hypothesis_settings(10)
@given(seed=SEEDS)
def test_a_vm_that_reaches_the_leader_only_through_peers_is_current(seed):
    """Guards against VMs that count as stale because they cannot reach the leader themselves."""
    simulation = FollowerSimulation(8, seed)
    leader, partitioned = simulation.vms[0].address, simulation.vms[1].address
    simulation.blocked_links = {(leader, partitioned), (partitioned, leader)}
    simulation.run(12)
    for _ in range(30):
        simulation.run(1)
        assert all(simulation.current_flags())
        assert all(vm.follower.is_newest(vm.clock(simulation.time)) for vm in simulation.vms)
    simulation.commit()
    # Gossip alone, since the leader's push is part of the daemon.
    simulation.run(4)
    assert [vm.in_force for vm in simulation.vms] == [1] * 8


@hypothesis_settings(10)
@given(seed=SEEDS)
def test_without_a_leader_vms_become_stale_and_start_with_the_newest_known_configuration(seed):
    """Guards against a partitioned VM that serves nothing, or does not report stale data."""
    simulation = FollowerSimulation(4, seed)
    simulation.commit()
    simulation.run(5)
    simulation.leader = None
    simulation.run(6.2)
    assert not any(simulation.current_flags())
    restarted = simulation.vms[2]
    restarted.cached = pb.ConfigImage(revision=0)
    simulation.start(restarted)
    simulation.run(9.5)
    assert not restarted.follower.is_ready
    simulation.run(1)
    assert (restarted.in_force, restarted.follower.is_ready) == (1, True)
    assert not any(simulation.current_flags())


def test_a_starting_vm_waits_for_a_confirmation_younger_than_its_start():
    """Guards against a restart with an older revision than was in force before."""
    follower = ConfigFollower.from_config(FollowerConfig(), None, random.Random(1), now=100)
    old = ConfigStatus(
        revision=6, leader_revision=6, leader_age_ms=5000, confirmed=True, leader_port=1
    )
    old.leader_host = "10.0.0.1"
    actions = follower.on_status("10.0.0.2:1", old, now=101, sent_at=100.9)
    assert FetchConfig("10.0.0.1:1", 0, True) in actions
    reply = FetchConfigReply(status=old, image=pb.ConfigImage(revision=6))
    follower.on_fetched("10.0.0.2:1", reply, now=101.1)
    assert (follower.config.revision, follower.is_ready) == (6, False)
    new = ConfigStatus(revision=8, leader_revision=8, confirmed=True)
    reply = FetchConfigReply(status=new, image=pb.ConfigImage(revision=8))
    assert ConfigInForce(8) in follower.on_fetched("10.0.0.1:1", reply, now=101.5)
    assert follower.is_current(101.5)


def test_an_empty_status_is_no_confirmation():
    """Guards against a default message that counts as a confirmation of age 0."""
    follower = ConfigFollower.from_config(FollowerConfig(), None, random.Random(1), now=0)
    for time in (1.0, 20.0):
        follower.on_status("10.0.0.2:1", ConfigStatus(), now=time, sent_at=time)
        follower.tick(time)
    assert not follower.is_ready and not follower.is_current(20.0)
    assert not follower.status(20.0).confirmed


def deltas(*revisions: int) -> list[pb.ConfigDelta]:
    return [
        pb.ConfigDelta(revision=r, change=pb.Change(put_vm=pb.VmConfig(vm_id=f"vm{r}")))
        for r in revisions
    ]


@pytest.mark.parametrize(
    ("reply", "revision", "names"),
    [
        (FetchConfigReply(deltas=deltas(1, 2, 3, 4)), 4, {"vm3", "vm4"}),
        (FetchConfigReply(deltas=deltas(4, 3)), 4, {"vm3", "vm4"}),
        (FetchConfigReply(deltas=deltas(4, 5)), 2, set()),
        (FetchConfigReply(deltas=deltas(3, 5)), 3, {"vm3"}),
        (FetchConfigReply(image=pb.ConfigImage(revision=1)), 2, set()),
        (FetchConfigReply(deltas=deltas(3), image=pb.ConfigImage(revision=9)), 9, set()),
    ],
    ids=["overlap", "order", "gap", "gap inside", "older image", "newer image"],
)
def test_deltas_apply_only_in_sequence(reply, revision, names):
    """Guards against a configuration that misses a change or returns to an older revision."""
    cached = pb.ConfigImage(revision=2)
    follower = ConfigFollower.from_config(FollowerConfig(), cached, random.Random(1), now=0)
    follower.on_fetched("10.0.0.2:1", reply, now=1)
    assert (follower.config.revision, set(follower.config.vms)) == (revision, names)


def test_a_voter_with_an_older_replicated_state_keeps_its_stored_revision():
    """Guards against a voter that returns to an older revision while it replays its log."""
    cached = pb.ConfigImage(revision=7)
    follower = ConfigFollower.from_config(FollowerConfig(), cached, random.Random(1), now=0)
    older = ConfigState.from_image(pb.ConfigImage(revision=3))
    follower.on_local(older, True, now=1, confirmed_at=0.9)
    assert follower.config.revision == 7 and follower.is_ready
    newer = ConfigState.from_image(pb.ConfigImage(revision=9))
    assert ConfigInForce(9) in follower.on_local(newer, False, now=2)


RATES = st.sampled_from([0.9995, 1.0, 1.0005])
HOPS = st.lists(st.tuples(RATES, st.floats(0, 5), st.floats(0, 2)), min_size=1, max_size=8)


@given(hops=HOPS)
def test_an_age_that_is_passed_on_is_never_understated(hops):
    """Guards against ages that shrink by rounding, slow clocks or network delay."""
    time, rate = 0.0, 1.0
    known = Confirmation(revision=1, at=0.0)
    for next_rate, waited, in_flight in hops:
        time += waited
        age_ms = known.age_ms(rate * time)
        assert age_ms >= time * 1000 - 1e-6
        status = ConfigStatus(leader_revision=1, leader_age_ms=age_ms, confirmed=True)
        # The request is sent just before the reply is created, and the reply is delayed.
        known = Confirmation.from_reply(status, sent_at=next_rate * time)
        time, rate = time + in_flight, next_rate
