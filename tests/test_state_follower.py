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


@attrs.define(eq=False)
class Vm:
    """A VM with its own clock; the rate is the error that NTP may leave."""

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


class World:
    """VMs, gossip with delays, and the true history of commits to check against."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.log = ConfigState()
        self.commits: list[tuple[float, int]] = []
        self.events: list[tuple[float, int, object]] = []
        self.ids = itertools.count()
        self.max_delay = 0.01
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
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
            self.at(self.rng.random(), lambda vm=vm: self.gossip(vm))
            self.at(self.rng.random(), lambda vm=vm: self.tick(vm))

    def start(self, vm: Vm) -> None:
        rng = random.Random(self.rng.random())
        vm.follower = ConfigFollower.from_config(
            FollowerConfig(), vm.cached, rng, vm.clock(self.time)
        )
        vm.before_restart, vm.in_force, vm.revision = vm.in_force, -1, 0

    def at(self, time: float, call: object) -> None:
        heapq.heappush(self.events, (time, next(self.ids), call))

    def later(self, call: object) -> None:
        self.at(self.time + self.rng.uniform(0, self.max_delay), call)

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

    def reaches(self, vm: Vm, peer: Vm) -> bool:
        return (vm.address, peer.address) not in self.cuts and self.rng.random() >= self.loss

    def tick(self, vm: Vm) -> None:
        now = vm.clock(self.time)
        if vm is self.leader:
            host, port = vm.address.split(":")
            # The newest quorum round started up to a heartbeat ago.
            confirmed_at = vm.clock(self.time - self.rng.uniform(0, 0.15))
            self.do(vm, vm.follower.on_local(self.log, True, now, confirmed_at, (host, int(port))))
        self.do(vm, vm.follower.tick(vm.clock(self.time)))
        self.at(self.time + 0.15, lambda: self.tick(vm))

    def gossip(self, vm: Vm) -> None:
        """Probe a random VM; the status rides on the probe and on the answer."""
        peer = self.rng.choice([other for other in self.vms if other is not vm])
        sent_at, follower = vm.clock(self.time), vm.follower
        probe = follower.status(sent_at)

        def on_probe() -> None:
            now = peer.clock(self.time)
            self.do(peer, peer.follower.on_status(vm.address, probe, now))
            answer = peer.follower.status(now)
            if self.reaches(peer, vm):
                self.later(lambda: on_answer(answer))

        def on_answer(answer: ConfigStatus) -> None:
            if vm.follower is follower:
                now = vm.clock(self.time)
                self.do(vm, follower.on_status(peer.address, answer, now, sent_at))

        if self.reaches(vm, peer):
            self.later(on_probe)
        self.at(self.time + 1, lambda: self.gossip(vm))

    def do(self, vm: Vm, actions: list[object]) -> None:
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
                self.do(vm, follower.on_fetch_failed(action.peer_address, now))

        def on_request() -> None:
            if action.leader_confirmed and peer is not self.leader:
                self.later(failed)
                return
            now = peer.clock(self.time)
            if action.leader_confirmed:
                self.do(peer, peer.follower.on_local(self.log, True, now, now))
            reply = peer.follower.fetch_reply(action.from_revision, now)
            self.later(lambda: on_reply(reply))

        def on_reply(reply: FetchConfigReply) -> None:
            if vm.follower is follower:
                now = vm.clock(self.time)
                self.do(vm, follower.on_fetched(action.peer_address, reply, now))

        self.later(on_request if self.reaches(vm, peer) else failed)

    def check(self, vm: Vm) -> None:
        """Ages are never understated and revisions never go down."""
        now, follower = vm.clock(self.time), vm.follower
        assert follower.config.revision >= vm.revision
        vm.revision = follower.config.revision
        assert self.revision_at(self.time - follower.stale_s(now)) <= follower.config.revision
        status = follower.status(now)
        if status.confirmed:
            covered = self.revision_at(self.time - status.leader_age_ms / 1000)
            assert covered <= status.leader_revision

    def revision_at(self, time: float) -> int:
        # Clocks hold up to 1e6 s as floats, whose rounding is below a microsecond.
        return bisect.bisect_left(self.commits, (time - 1e-6, 0))

    def currents(self) -> list[bool]:
        return [vm.follower.is_current(vm.clock(self.time)) for vm in self.vms]


@hypothesis_settings(80)
@given(seed=SEEDS, size=st.integers(2, 9))
def test_ages_are_never_understated_and_revisions_never_go_down(seed, size):
    """Guards against a VM that calls an old configuration current, under any delays and faults."""
    world = World(size, seed)
    rng = world.rng
    for vm in world.vms:
        vm.cached = rng.choice([None, pb.ConfigImage()])
    for _ in range(25):
        world.max_delay = rng.choice([0.01, 0.5, 5.0])
        world.loss = rng.choice([0.0, 0.0, 0.3])
        cut = {vm.address for vm in world.vms if rng.random() < 0.2}
        world.cuts = (
            {(a.address, b) for a in world.vms for b in cut} if rng.random() < 0.3 else set()
        )
        for _ in range(rng.choice([0, 1, 3, 1100] if rng.random() < 0.1 else [0, 1, 3])):
            world.commit()
        if rng.random() < 0.2:
            world.leader = rng.choice([*world.vms, None])
        if rng.random() < 0.3:
            world.start(rng.choice([vm for vm in world.vms if vm is not world.leader]))
        world.run(rng.choice([0.1, 1.0, 4.0]))
    world.max_delay, world.loss, world.cuts = 0.01, 0.0, set()
    world.leader = world.leader or world.vms[0]
    world.run(15)
    assert all(world.currents())
    assert all(vm.in_force == world.log.revision for vm in world.vms)
    assert all(vm.follower.config.image() == world.log.image() for vm in world.vms)


@hypothesis_settings(10)
@given(seed=SEEDS)
def test_a_vm_that_hears_the_leader_only_through_others_is_current(seed):
    """Guards against VMs that count as stale because they cannot reach the leader themselves."""
    world = World(8, seed)
    leader, apart = world.vms[0].address, world.vms[1].address
    world.cuts = {(leader, apart), (apart, leader)}
    world.run(12)
    for _ in range(30):
        world.run(1)
        assert all(world.currents())
    world.commit()
    # Gossip alone, without the leader's push that the daemon adds.
    world.run(4)
    assert [vm.in_force for vm in world.vms] == [1] * 8


@hypothesis_settings(10)
@given(seed=SEEDS)
def test_without_a_leader_vms_become_stale_and_start_on_what_they_have(seed):
    """Guards against a cut-off VM that does not serve, or serves without saying that it is old."""
    world = World(4, seed)
    world.commit()
    world.run(5)
    world.leader = None
    world.run(6.2)
    assert not any(world.currents())
    restarted = world.vms[2]
    restarted.cached = pb.ConfigImage(revision=0)
    world.start(restarted)
    world.run(9.5)
    assert not restarted.follower.is_ready
    world.run(1)
    assert (restarted.in_force, restarted.follower.is_ready) == (1, True)
    assert not any(world.currents())


def test_a_starting_vm_waits_for_a_confirmation_younger_than_its_start():
    """Guards against a restart on an older revision than the VM had in force before."""
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


def test_an_empty_status_proves_nothing():
    """Guards against a default message that reads as a confirmation without age."""
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
    """Guards against a configuration that misses a change or goes back."""
    cached = pb.ConfigImage(revision=2)
    follower = ConfigFollower.from_config(FollowerConfig(), cached, random.Random(1), now=0)
    follower.on_fetched("10.0.0.2:1", reply, now=1)
    assert (follower.config.revision, set(follower.config.vms)) == (revision, names)


def test_a_voter_with_an_older_replicated_state_keeps_its_stored_revision():
    """Guards against a voter that goes back while it reads its log again after a restart."""
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
def test_an_age_that_is_passed_on_is_never_below_the_true_one(hops):
    """Guards against ages that shrink by rounding, by slow clocks or by the time in flight."""
    time, rate = 0.0, 1.0
    known = Confirmation(revision=1, at=0.0)
    for next_rate, waited, in_flight in hops:
        time += waited
        age_ms = known.age_ms(rate * time)
        assert age_ms >= time * 1000 - 1e-6
        status = ConfigStatus(leader_revision=1, leader_age_ms=age_ms, confirmed=True)
        # The request was sent just before the reply was made, and the reply took long.
        known = Confirmation.from_reply(status, sent_at=next_rate * time)
        time, rate = time + in_flight, next_rate
