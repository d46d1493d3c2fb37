"""Simulation of several `VmMembership` objects on a network with virtual time, with an oracle.

The oracle records which VMs and targets run and which targets have left. After faults of any kind
all VMs must agree with it within the time limits of the design.
"""

import heapq
import itertools
from random import Random

import attrs

from bramleycrank.connections import ConnectionBudget, ConnectionConfig
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.membership import (
    MembershipConfig,
    PushRecords,
    RelayProbe,
    SendProbe,
    SendSync,
    TargetChanged,
    TargetRegistry,
    VmMembership,
)
from bramleycrank.proto import peer_pb2, target_pb2

# Short retention times, so that records are removed within an example. A replayed report is never
# older than the retention time of LEAVING records.
CFG = MembershipConfig(max_message_bytes=400, leaving_retention_s=150.0, expired_retention_s=40.0)
REPLAY_AGE_S = 100.0
TICK_S = 0.1
SEEDS = 2
LEAVE_BOUND_S = 3.0
SETTLE_S = 60.0
CONNECTION_LIMIT = 30
MAX_RECORD_BYTES = 80
SERVING, LEAVING = target_pb2.TARGET_STATE_SERVING, target_pb2.TARGET_STATE_LEAVING


@attrs.define(eq=False)
class Vm:
    """One VM: its objects while it runs, and the leaving targets that its process knows of."""

    vm_id: str
    address: str
    port: int
    control_only: bool = False
    domain: str = "a"
    core: VmMembership | None = None
    registry: TargetRegistry | None = None
    budget: ConnectionBudget | None = None
    paused_until: float = 0.0
    known_leaving: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Target:
    """One target process."""

    target_id: str
    incarnation: int = 0
    sequence: int = 0
    running: bool = False
    left_at: float | None = None
    home: int = 0


def check_size(message, cfg=CFG):
    """Check the size limit of the records in a message; the peer's record is not counted in it."""
    records = [*message.gossip.vms, *message.gossip.targets]
    size = sum(record.ByteSize() for record in records)
    assert size <= cfg.max_message_bytes + MAX_RECORD_BYTES


class Fleet:
    """VMs and targets on a simulated network with virtual time."""

    def __init__(
        self, seed, vm_count=4, target_count=3, control_only=0, domains="a", cfg=CFG, seeds=SEEDS
    ):
        self.cfg, self.seed_count = cfg, seeds
        self.remote_bytes = self.local_bytes = 0
        self.remote_calls = self.local_calls = 0
        self.rng = Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.loss = self.duplicates = 0.0
        self.latency_s = 0.003
        self.partitioned = frozenset()
        self.calm_since = 0.0
        self.sent_reports = []
        names = [f"vm-{i}" for i in range(vm_count)]
        self.vms = [
            Vm(name, f"h:{i + 1}", i + 1, i < control_only, domains[i % len(domains)])
            for i, name in enumerate(names)
        ]
        self.by_address = {vm.address: vm for vm in self.vms}
        self.targets = [Target(f"t-{i}", home=i % vm_count) for i in range(target_count)]
        for vm in self.vms:
            self.start_vm(vm, incarnation=1)
            self.schedule(self.rng.uniform(0, TICK_S), lambda vm=vm: self.tick(vm))
        for target in self.targets:
            self.start_target(target)
            self.schedule(self.rng.uniform(0, 2), lambda target=target: self.renew(target))

    # Time and network.

    def schedule(self, delay, function):
        heapq.heappush(self.events, (self.now + delay, next(self.order), function))

    def run_for(self, duration):
        until = self.now + duration
        while self.events and self.events[0][0] <= until:
            self.now, _, function = heapq.heappop(self.events)
            function()
        self.now = until

    def mark_disturbed(self):
        self.calm_since = max(self.calm_since, self.now)

    @property
    def calm(self):
        """Whether no message is lost or slow and no running VM is paused."""
        quiet = not self.loss and not self.partitioned and self.latency_s < 0.1
        return quiet and all(vm.paused_until <= self.now for vm in self.vms)

    def is_delivered(self, source, target):
        if (source.vm_id in self.partitioned) != (target.vm_id in self.partitioned):
            return False
        return target.core is not None and self.rng.random() >= self.loss

    def call(self, source, address, request, handle, timeout, on_reply, on_fail):
        """Call a VM; exactly one of the last two functions is called within the timeout."""
        check_size(request, self.cfg)
        target = self.by_address[address]
        self.count(source, target, request, 1)
        done = []
        process = source.core

        def finish(function, *args):
            if not done and source.core is process:
                done.append(True)
                function(*args)

        self.schedule(timeout, lambda: finish(on_fail))
        copy = type(request).FromString(request.SerializeToString())

        def deliver():
            if target.paused_until > self.now:
                self.schedule(target.paused_until - self.now + 0.001, deliver)
            elif target.core is not None:
                handle(target, copy, answer)

        def answer(reply):
            check_size(reply, self.cfg)
            self.count(target, source, reply, 0)
            if self.is_delivered(target, source):
                reply_copy = type(reply).FromString(reply.SerializeToString())
                self.schedule(self.delay(), lambda: finish(on_reply, reply_copy))

        if self.is_delivered(source, target):
            self.schedule(self.delay(), deliver)
            if self.rng.random() < self.duplicates:
                self.schedule(self.delay() + self.rng.uniform(0, 20), deliver)

    def count(self, source, target, message, calls):
        if source.domain == target.domain:
            self.local_bytes += message.ByteSize()
            self.local_calls += calls
        else:
            self.remote_bytes += message.ByteSize()
            self.remote_calls += calls

    def delay(self):
        return self.rng.uniform(0.0005, self.latency_s)

    # VMs.

    def start_vm(self, vm, incarnation):
        local = peer_pb2.VmRecord(
            vm_id=vm.vm_id,
            incarnation=incarnation,
            state=peer_pb2.VM_STATE_ALIVE,
            domain=vm.domain,
            host="h",
            port=vm.port,
            control_only=vm.control_only,
        )
        seeds = tuple(other.address for other in self.vms[: self.seed_count])
        vm.registry = TargetRegistry.from_config(self.cfg, vm.vm_id, self.now)
        rng = Random(self.rng.random())
        vm.core = VmMembership.from_config(self.cfg, local, vm.registry, seeds, rng, self.now)
        vm.budget = ConnectionBudget(ConnectionConfig(), self.now)
        vm.known_leaving = set()

    def tick(self, vm):
        self.schedule(TICK_S, lambda: self.tick(vm))
        if vm.core is None or vm.paused_until > self.now:
            return
        self.execute(vm, [*vm.core.tick(self.now), *vm.registry.tick(self.now)])
        vm.budget.on_vm_count(vm.core.budget_count(self.now), self.now)
        self.check_no_leaving_target_used(vm)

    def check_no_leaving_target_used(self, vm):
        """Check that a VM does not use an incarnation that it knows to have left."""
        for record in vm.registry.usable("s", self.now):
            assert (record.target_id, record.incarnation) not in vm.known_leaving

    def execute(self, vm, actions):
        for action in actions:
            match action:
                case SendProbe():
                    self.probe(vm, action)
                case SendSync():
                    self.sync(vm, action)
                case PushRecords():
                    self.execute(vm, vm.core.push(action, self.now))
                case TargetChanged(record=record) if record.state == LEAVING:
                    vm.known_leaving.add((record.target_id, record.incarnation))
        self.check_no_leaving_target_used(vm)

    def probe(self, vm, action):
        core = vm.core
        self.call(
            vm,
            action.address,
            action.request,
            self.on_probe,
            action.timeout_s,
            lambda r: self.execute(vm, core.on_probe_reply(action.probe_id, r, self.now)),
            lambda: self.execute(vm, core.on_probe_failed(action.probe_id, self.now)),
        )

    def on_probe(self, vm, request, answer):
        reply, actions = vm.core.on_probe(request, self.now)
        relays = [a for a in actions if isinstance(a, RelayProbe)]
        self.execute(vm, [a for a in actions if not isinstance(a, RelayProbe)])
        if not relays:
            answer(reply)
            return
        core = vm.core

        def relayed(relayed_reply):
            reply.indirect_ok = True
            self.execute(vm, core.on_relay_reply(relayed_reply, self.now))
            answer(reply)

        relay = relays[0]
        self.call(
            vm,
            relay.address,
            relay.request,
            self.on_probe,
            relay.timeout_s,
            relayed,
            lambda: answer(reply),
        )

    def sync(self, vm, action):
        core = vm.core

        def handle(target, request, answer):
            reply, actions = target.core.on_sync(request, self.now)
            self.execute(target, actions)
            answer(reply)

        self.call(
            vm,
            action.address,
            action.request,
            handle,
            action.timeout_s,
            lambda r: self.execute(vm, core.on_sync_reply(action.sync_id, r, self.now)),
            lambda: self.execute(vm, core.on_sync_failed(action.sync_id, self.now)),
        )

    def running(self):
        return [vm for vm in self.vms if vm.core is not None]

    # Targets.

    def start_target(self, target):
        target.incarnation += 1
        target.sequence = 1
        target.running, target.left_at = True, None

    def renew(self, target):
        self.schedule(2.0, lambda: self.renew(target))
        if target.running and target.left_at is None:
            self.announce(target, attempts=2)

    def announce(self, target, attempts):
        """Send a report to the home VM, or after a failure to the next VM."""
        vm = self.vms[target.home]
        request = target_pb2.AnnounceRequest(
            record=target_pb2.TargetRecord(
                target_id=target.target_id,
                incarnation=target.incarnation,
                sequence=target.sequence,
                state=SERVING,
                service="s",
                host="h",
                port=9000,
            )
        )
        self.sent_reports.append((self.now, request))
        if vm.paused_until <= self.now and self.deliver_report(vm, request):
            return
        target.home = (target.home + 1) % len(self.vms)
        if attempts > 1:
            self.schedule(0.2, lambda: self.announce(target, attempts - 1))

    def deliver_report(self, vm, request):
        """Deliver a report to a VM; return whether the VM replied."""
        if vm.core is None or not vm.core.joined or self.rng.random() < self.loss:
            return False
        try:
            _, actions = vm.registry.announce(request, self.now)
        except BramleycrankError:
            return True  # rejected as too old; a real target would stop
        self.execute(vm, actions)
        return True

    def leave(self, target):
        """Send a leave request to the first VM that replies, as a target does."""
        request = target_pb2.LeaveRequest(
            target_id=target.target_id, incarnation=target.incarnation
        )
        order = self.vms[target.home :] + self.vms[: target.home]
        for vm in order:
            if vm.core is not None and vm.paused_until <= self.now:
                target.left_at = self.now
                self.execute(vm, vm.registry.leave(request, self.now))
                return

    # Oracle.

    def leaving_record_exists(self, target):
        """Return whether a running VM has the LEAVING record; it may be lost with stopped VMs."""
        for vm in self.running():
            record = vm.registry.get(target.target_id)
            if record is not None and record.state == LEAVING:
                return record.incarnation == target.incarnation
        return False

    def check_leave_bound(self):
        """Check that no reachable VM uses a target that left more than 3 s ago (G6)."""
        if not self.calm:
            return
        for target in self.targets:
            if target.left_at is None or not self.leaving_record_exists(target):
                continue
            if self.now - max(target.left_at, self.calm_since) <= LEAVE_BOUND_S:
                continue
            for vm in self.running():
                usable = {r.target_id: r.incarnation for r in vm.registry.usable("s", self.now)}
                assert usable.get(target.target_id) != target.incarnation, (vm.vm_id, self.now)

    def settle(self):
        self.loss = self.duplicates = 0.0
        self.latency_s = 0.003
        self.partitioned = frozenset()
        for vm in self.vms:
            vm.paused_until = min(vm.paused_until, self.now)
        if all(vm.core is None for vm in self.vms[:SEEDS]):
            self.start_vm(self.vms[0], incarnation=1)  # restarted VMs need a running seed to join
        self.calm_since = self.now
        for _ in range(int(SETTLE_S)):
            self.run_for(1.0)
            self.check_leave_bound()
        self.check_agreement()

    def check_agreement(self):
        """Check that all VMs have the same records and that these agree with the oracle."""
        running = self.running()
        names = {vm.vm_id for vm in running}
        expected = {t.target_id for t in self.targets if t.running and t.left_at is None}
        tables = []
        for vm in running:
            assert {r.vm_id for r in vm.core.live_vms(self.now)} == names
            assert all(r.state == peer_pb2.VM_STATE_ALIVE for r in vm.core.live_vms(self.now))
            assert {r.target_id for r in vm.registry.usable("s", self.now)} == expected
            tables.append(
                {
                    r.target_id: vm.registry.key(r.target_id)
                    for r in vm.registry.usable("s", self.now)
                }
            )
        assert all(table == tables[0] for table in tables)
        for target in self.targets:
            if target.left_at is None or self.now - target.left_at > REPLAY_AGE_S:
                continue
            keys = {vm.registry.key(target.target_id) for vm in running}
            assert len(keys) == 1 or not self.leaving_record_exists(target), target
        shares = [min(2, vm.budget.share(CONNECTION_LIMIT, self.now)) for vm in running]
        assert sum(shares) <= CONNECTION_LIMIT
