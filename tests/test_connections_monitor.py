"""State machine over the connection monitors of one VM, and tests of the budgets.

The simulated targets answer, are slow, are frozen or refuse connections, and each connection may
become silent permanently. The monitors must detect each of these states within a bound.
"""

import heapq
import itertools
from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bramleycrank.connections import (
    CloseConnection,
    CloseReason,
    ConnectionBudget,
    ConnectionConfig,
    ConnectionMonitor,
    OpenConnection,
    ReconnectBudget,
    SendPing,
    TargetDown,
    TargetUp,
    slot_share,
)

CFG = ConnectionConfig()
TICK_S = 0.05
NETWORK_DELAY_S = 0.005

# Time for silence, ping, opening and two ticks. After it, a target is known to be down or its
# connection is replaced, unless the reconnect budget is used up.
DETECTION_BOUND_S = CFG.silence_max_s + 1.5 * CFG.ping_grace_s + 2 * CFG.open_timeout_s + 4 * TICK_S


@attrs.define(eq=False)
class SimTarget:
    """A simulated target with its monitor."""

    index: int
    share: int
    monitor: ConnectionMonitor | None = None
    frozen: bool = False
    refuses: bool = False
    conns: dict = attrs.field(factory=dict)  # conn_id to whether it is silent
    attempts: int = 0  # attempts to open that have no result yet
    attempts_made: int = 0
    down: bool = False
    wrong_close_count: int = 0


class Simulation:
    """Monitors of one VM that share a reconnect budget."""

    def __init__(self, seed, count, share):
        self.rng = Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.conn_ids = itertools.count(1)
        self.budget = ReconnectBudget.from_config(CFG, 0.0)
        self.opens = []
        self.targets = [SimTarget(i, share) for i in range(count)]
        for target in self.targets:
            target.monitor = ConnectionMonitor(
                str(target.index), CFG, self.budget, lambda t=target: t.share, self.rng, 0.0
            )
        self.post(0.0, self.tick)

    def post(self, delay, function):
        heapq.heappush(self.events, (self.now + delay, next(self.order), function))

    def run_for(self, duration):
        until = self.now + duration
        while self.events[0][0] <= until:
            self.now, _, function = heapq.heappop(self.events)
            function()
        self.now = until

    def tick(self):
        self.post(TICK_S, self.tick)
        for target in self.targets:
            self.execute(target, target.monitor.tick(self.now))

    def execute(self, target, actions):
        for action in actions:
            match action:
                case OpenConnection():
                    assert len(target.conns) + target.attempts < max(1, target.share)
                    target.attempts += 1
                    target.attempts_made += 1
                    self.opens.append(self.now)
                    self.try_open(target)
                case CloseConnection(conn_id=conn_id, reason=reason):
                    silent = target.conns.pop(conn_id)
                    if reason is CloseReason.SILENT and not silent and not target.frozen:
                        target.wrong_close_count += 1
                case SendPing(conn_id=conn_id, ping_id=ping_id):
                    self.post(NETWORK_DELAY_S, lambda c=conn_id, p=ping_id: self.pong(target, c, p))
                case TargetDown():
                    assert not target.down
                    target.down = True
                case TargetUp():
                    assert target.down
                    target.down = False

    def try_open(self, target):
        started = self.now

        def finish():
            target.attempts -= 1
            if target.refuses or self.now - started >= CFG.open_timeout_s:
                self.execute(target, target.monitor.on_open_failed(self.now))
                return
            if target.frozen:
                target.attempts += 1
                self.post(0.05, finish)
                return
            conn_id = next(self.conn_ids)
            target.conns[conn_id] = False
            self.execute(target, target.monitor.on_open(conn_id, self.now))

        self.post(0.0 if target.refuses else NETWORK_DELAY_S, finish)

    def pong(self, target, conn_id, ping_id):
        if target.frozen:
            self.post(0.05, lambda: self.pong(target, conn_id, ping_id))
        elif target.conns.get(conn_id) is False:
            self.execute(target, target.monitor.on_pong(conn_id, ping_id, self.now))

    def send(self, target, service_s):
        conn_id = target.monitor.ready_conn
        if conn_id is None:
            return
        self.execute(target, target.monitor.on_sent(conn_id, self.now))
        self.post(service_s, lambda: self.reply(target, conn_id, service_s))

    def reply(self, target, conn_id, service_s):
        if target.frozen:
            self.post(0.05, lambda: self.reply(target, conn_id, service_s))
        elif target.conns.get(conn_id) is False:
            target.monitor.on_done(conn_id, self.now, service_s)
            self.execute(target, target.monitor.on_bytes(conn_id, self.now))

    def go_silent(self, target):
        for conn_id in target.conns:
            target.conns[conn_id] = True

    def check_budget(self):
        """Check that reconnects stay in the budget; first connections do not count."""
        free = len(self.targets)
        window = [at for at in self.opens if at > self.now - 1.0]
        assert len(window) <= CFG.reconnect_burst + CFG.reconnects_per_s + free


class MonitorMachine(RuleBasedStateMachine):
    """State machine with faults and load at arbitrary times."""

    @initialize(seed=st.integers(0, 2**32), share=st.integers(1, 2))
    def begin(self, seed, share):
        self.sim = Simulation(seed, 5, share)
        self.sim.run_for(1.0)

    @rule(duration=st.floats(0.01, 3.0))
    def advance(self, duration):
        self.sim.run_for(duration)
        self.sim.check_budget()

    @rule(index=st.integers(0, 4), count=st.integers(1, 5), service_s=st.floats(0.001, 4.0))
    def send(self, index, count, service_s):
        for _ in range(count):
            self.sim.send(self.sim.targets[index], service_s)

    @rule(index=st.integers(0, 4))
    def go_silent(self, index):
        self.sim.go_silent(self.sim.targets[index])

    @rule(index=st.integers(0, 4), frozen=st.booleans())
    def freeze(self, index, frozen):
        self.sim.targets[index].frozen = frozen

    @rule(index=st.integers(0, 4), refuses=st.booleans())
    def refuse(self, index, refuses):
        self.sim.targets[index].refuses = refuses

    @rule(index=st.integers(0, 4))
    def lose_connections(self, index):
        target = self.sim.targets[index]
        for conn_id in list(target.conns):
            del target.conns[conn_id]
            self.sim.execute(target, target.monitor.on_closed(conn_id, self.sim.now))

    @rule()
    def settle(self):
        """Check that each target ends up with one working connection once all faults have ended."""
        sim = self.sim
        for target in sim.targets:
            target.frozen = target.refuses = False
        sim.run_for(15.0)
        for target in sim.targets:
            assert list(target.conns.values()) == [False], target
            assert not target.down and target.monitor.ready_conn in target.conns

    def teardown(self):
        if hasattr(self, "sim"):
            self.settle()


MonitorMachine.TestCase.settings = settings(
    settings.default, max_examples=min(settings.default.max_examples, 400)
)
TestMonitor = MonitorMachine.TestCase


@given(st.integers(0, 2**32), st.integers(1, 2), st.booleans(), st.floats(0.0, 0.9))
def test_each_cause_of_silence_is_detected_within_the_bound(seed, share, busy, delay):
    """Guards against confusing slow, silent and dead targets, and against slow detection."""
    sim = Simulation(seed, 4, share)
    slow, silent, frozen, refusing = sim.targets
    sim.run_for(1.0 + delay)
    sim.go_silent(silent)
    frozen.frozen = True
    refusing.refuses = True
    sim.go_silent(refusing)
    for target in sim.targets:
        if busy:
            sim.send(target, 3.0)
    kept = next(iter(slow.conns))
    sim.run_for((0 if busy else CFG.idle_ping_s) + DETECTION_BOUND_S)
    assert refusing.attempts_made <= 5, "attempts back off"
    assert not slow.down and list(slow.conns) == [kept] and not slow.wrong_close_count
    assert not silent.down and list(silent.conns.values()) == [False]
    assert frozen.down and refusing.down


@given(st.integers(0, 2**32), st.integers(1, 2))
@settings(max_examples=30)
def test_many_silent_connections_cause_no_reconnect_storm(seed, share):
    """Guards against a VM that reconnects to all targets at the same time."""
    sim = Simulation(seed, 240, share)
    sim.run_for(1.0)
    silent = sim.targets[::3]
    sim.opens.clear()
    for target in silent:
        sim.go_silent(target)
    for target in sim.targets:
        sim.send(target, 2.0)
    for _ in range(100):
        sim.run_for(0.1)
        window = [at for at in sim.opens if at > sim.now - 1.0]
        assert len(window) <= CFG.reconnect_burst + CFG.reconnects_per_s
    assert all(list(t.conns.values()) == [False] and not t.down for t in sim.targets)
    assert len(sim.opens) == len(silent), "only silent connections are replaced, each once"


@given(st.integers(0, 2**32), st.integers(1, 2))
@settings(max_examples=10)
def test_unreachable_targets_leave_reconnects_for_the_others(seed, share):
    """Guards against partitioned targets that use up the budget for those of the own domain."""
    sim = Simulation(seed, 150, share)
    sim.run_for(1.0)
    for target in sim.targets[:-10]:
        target.frozen = True
        sim.send(target, 1.0)
    sim.run_for(30.0)
    own = sim.targets[-1]
    sim.go_silent(own)
    sim.send(own, 1.0)
    sim.run_for(DETECTION_BOUND_S)
    assert not own.down and list(own.conns.values()) == [False]


@given(
    st.lists(st.tuples(st.floats(0.1, 20.0), st.integers(1, 20)), min_size=1, max_size=20),
    st.integers(1, 200),
)
def test_share_grows_with_a_delay_and_shrinks_at_once(steps, limit):
    """Guards against using the share of VMs that became unreachable only recently."""
    now = 0.0
    budget = ConnectionBudget(CFG, now)
    assert budget.share(limit, now) == 1
    seen = []
    for pause, count in steps:
        now += pause
        budget.on_vm_count(count, now)
        seen.append((now, count))
        recent = [c for at, c in seen if now - at <= CFG.budget_retention_s]
        share = budget.share(limit, now)
        assert share == 1 or share <= limit // (max(recent) + 1)
        if now >= CFG.join_s:
            assert share == max(1, limit // (max(recent) + 1))


@given(st.lists(st.floats(0.0, 1.0), max_size=200))
def test_reconnect_budget_never_gives_more_than_burst_and_rate(pauses):
    """Guards against a bucket that holds more than its burst after a pause."""
    budget = ReconnectBudget(10.0, 20, 0.0)
    now, taken = 0.0, 0
    for pause in pauses:
        now += pause
        while budget.try_acquire(now):
            taken += 1
        assert taken <= 20 + 10 * now + 1e-6


def test_slot_share():
    """Guards against a share of 0, which would keep a VM from using a target."""
    assert slot_share(4, 3, same_domain=True) == 1
    assert slot_share(9, 3, same_domain=True) == 3
    assert slot_share(2, 0, same_domain=True) == 2
    assert slot_share(9, 3, same_domain=False) == 1


def test_a_silent_connection_is_detected_although_its_requests_are_cancelled_early():
    """Guards against ejecting a target for a silent connection where hedges always win."""
    budget = ReconnectBudget.from_config(CFG, 0.0)
    monitor = ConnectionMonitor("t", CFG, budget, lambda: 2, Random(1), 0.0)
    monitor.tick(0.0)
    monitor.on_open(1, 0.0)
    actions, now = [], 0.0
    while OpenConnection("t") not in actions:
        now += TICK_S
        assert now < CFG.silence_min_s + 1.5 * CFG.ping_grace_s + 4 * TICK_S
        monitor.on_sent(1, now)
        monitor.on_done(1, now + 0.02)
        actions += monitor.tick(now + 0.02)
    assert actions == [SendPing(1, 1), OpenConnection("t")]


def test_a_connection_whose_requests_are_cancelled_stays_ready_while_it_answers_pings():
    """Guards against delayed requests and needless connections for a target that is only slow."""
    budget = ReconnectBudget.from_config(CFG, 0.0)
    monitor = ConnectionMonitor("t", CFG, budget, lambda: 2, Random(1), 0.0)
    monitor.tick(0.0)
    monitor.on_open(1, 0.0)
    pings = 0
    for step in range(1, 200):
        now = step * TICK_S
        monitor.on_sent(1, now)
        monitor.on_done(1, now + 0.02)
        for action in monitor.tick(now + 0.02):
            assert isinstance(action, SendPing)
            pings += 1
            monitor.on_pong(1, action.ping_id, now + 0.03)
        assert monitor.ready_conn == 1
    assert 0 < pings <= 200 * TICK_S / CFG.silence_min_s
